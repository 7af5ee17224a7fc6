package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"endivedeck.example/kernel"
)

// pollInterval is the interval at which the settings file is checked, since it
// may change without a SIGHUP.
const pollInterval = 2 * time.Second

// reloader applies changes of the settings file to a running process.
type reloader struct {
	kernel *kernel.Kernel
	file   string
	load   func() (kernel.ProcessSettings, error)
	hup    <-chan os.Signal
	loaded string // size and modification time of the file when it was last loaded
}

// run reloads the file when it changes and on SIGHUP, until ctx is done.
func (r *reloader) run(ctx context.Context) {
	r.loaded = r.fileVersion()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
			r.reload()
		case <-ticker.C:
			if r.fileVersion() != r.loaded {
				r.reload()
			}
		}
	}
}

func (r *reloader) reload() {
	r.loaded = r.fileVersion()
	process, err := r.load()
	if err != nil {
		reportError(err) // the current settings stay in force
		return
	}
	r.kernel.Reload(process)
}

// fileVersion returns a string that differs when the file has changed.
func (r *reloader) fileVersion() string {
	info, err := os.Stat(r.file)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.Size(), info.ModTime().UnixNano())
}
