package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"endivedeck.example/fault"
	"endivedeck.example/keys"
)

func init() {
	Commands.Register("keys", func(out io.Writer) subcommands.Command { return &keysCommand{out: out} })
}

// keysCommand generates the keys of a deployment.
type keysCommand struct {
	out    io.Writer
	folder string
}

func (c *keysCommand) Name() string     { return "keys" }
func (c *keysCommand) Synopsis() string { return "generate the keys of a deployment" }

func (c *keysCommand) Usage() string {
	return `endivedeck keys -folder FOLDER INSTANCE...

Generate a key and a certificate for each instance, signed by the certificate
authority in the folder, which is created if there is none. Existing keys of an
instance are replaced; running processes reload changed files.

Example: endivedeck keys -folder keys control-1 entry-1 crew-assist-1

`
}

func (c *keysCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.folder, "folder", "keys", "the `folder` of the keys")
}

func (c *keysCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	authority, err := keys.OpenAuthority(c.folder)
	if fault.KindOf(err) == fault.NotFound {
		authority, err = keys.NewAuthority(c.folder)
	}
	if err != nil {
		return reportError(err)
	}
	for _, instance := range f.Args() {
		files, err := authority.Issue(instance)
		if err != nil {
			return reportError(err)
		}
		fmt.Fprintln(c.out, files.Certificate)
	}
	return subcommands.ExitSuccess
}
