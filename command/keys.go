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
	Commands.Register("keys", func(out io.Writer) subcommands.Command { return &keyMaker{out: out} })
}

// keyMaker makes the keys of a deployment.
type keyMaker struct {
	out    io.Writer
	folder string
}

func (c *keyMaker) Name() string     { return "keys" }
func (c *keyMaker) Synopsis() string { return "make a deployment's authority and its instances' keys" }

func (c *keyMaker) Usage() string {
	return `endivedeck keys -folder FOLDER INSTANCE...

Make a key and a certificate for each instance, and the authority that signs
them where the folder has none yet. Keys of the same instance are replaced;
processes read changed files again without a restart.

Example: endivedeck keys -folder keys control-1 entry-1 crew-assist-1

`
}

func (c *keyMaker) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.folder, "folder", "keys", "the `folder` of the keys")
}

func (c *keyMaker) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() == 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	authority, err := keys.OpenAuthority(c.folder)
	if fault.Of(err) == fault.NotFound {
		authority, err = keys.NewAuthority(c.folder)
	}
	if err != nil {
		return failed(err)
	}
	for _, instance := range f.Args() {
		files, err := authority.Issue(instance)
		if err != nil {
			return failed(err)
		}
		fmt.Fprintln(c.out, files.Certificate)
	}
	return subcommands.ExitSuccess
}
