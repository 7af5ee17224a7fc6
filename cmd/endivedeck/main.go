// Command endivedeck runs the processes of an inference and order serving system
// for a fixed fleet, and the tools of its operators. See "endivedeck help".
package main

import (
	"context"
	"flag"
	"os"

	"endivedeck.example/command"

	_ "endivedeck.example/chat"
	_ "endivedeck.example/control"
	_ "endivedeck.example/demo"
	_ "endivedeck.example/entry"
	_ "endivedeck.example/platform"
	_ "endivedeck.example/relay"
	_ "endivedeck.example/service"
	_ "endivedeck.example/sidecar"
	_ "endivedeck.example/wire/quicline"
)

func main() {
	flags := flag.NewFlagSet("endivedeck", flag.ExitOnError)
	os.Exit(int(command.Run(context.Background(), flags, os.Args[1:], os.Stdout)))
}
