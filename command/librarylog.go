package command

import (
	"io"
	"log"
	"strings"

	"github.com/sirupsen/logrus"

	"endivedeck.example/kernel"
)

// libraryLog writes what libraries print with the standard library's log package as
// log lines of the process, so that each line of a process has the same format.
type libraryLog struct{ log *logrus.Entry }

// redirectLibraryLog installs a libraryLog for the process.
func redirectLibraryLog(process kernel.ProcessSettings, out io.Writer) error {
	entry, err := kernel.NewLog(process, out)
	if err != nil {
		return err
	}
	log.SetFlags(0)
	log.SetOutput(libraryLog{entry})
	return nil
}

// Write implements io.Writer.
func (l libraryLog) Write(p []byte) (int, error) {
	l.log.WithField("source", "library").Warn(strings.TrimSpace(string(p)))
	return len(p), nil
}
