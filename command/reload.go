package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"endivedeck.example/kernel"
)

// lookTime is the time between two looks at the settings file, which may
// change without a signal.
const lookTime = 2 * time.Second

// reloader takes in settings that change while a process runs.
type reloader struct {
	kernel *kernel.Kernel
	file   string
	load   func() (kernel.Process, error)
	hup    <-chan os.Signal
	seen   string // size and time of the file when it was last taken in
}

// run looks at the file again and again, until ctx is done.
func (r *reloader) run(ctx context.Context) {
	r.seen = r.stamp()
	ticker := time.NewTicker(lookTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
			r.reload()
		case <-ticker.C:
			if r.stamp() != r.seen {
				r.reload()
			}
		}
	}
}

func (r *reloader) reload() {
	r.seen = r.stamp()
	process, err := r.load()
	if err != nil {
		failed(err) // the earlier settings hold
		return
	}
	r.kernel.Reload(process)
}

func (r *reloader) stamp() string {
	info, err := os.Stat(r.file)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(info.Size(), info.ModTime().UnixNano())
}
