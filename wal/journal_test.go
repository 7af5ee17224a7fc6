package wal

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
	"endivedeck.example/quorum"
)

// writer appends entries one by one and snapshots now and then, and keeps
// what was acknowledged.
type writer struct {
	disk   *Memory
	acked  []quorum.Entry
	ballot quorum.HardState
	snap   uint64
}

// write goes on until count entries are acknowledged or the disk fails.
func (w *writer) write(count int) error {
	j, state, err := New(w.disk)
	if err != nil {
		return err
	}
	if err := w.check(state); err != nil {
		return err
	}
	w.acked = append(slices.Clone(w.acked[:state.Snapshot.Index]), state.Entries...)
	for i := len(w.acked); i < count; i++ {
		e := quorum.Entry{Index: uint64(i + 1), Term: uint64(i/7 + 1), Data: []byte(fmt.Sprint("entry ", i))}
		ballot := quorum.HardState{Term: e.Term, Vote: "a"}
		if err := j.Append(&ballot, []quorum.Entry{e}); err != nil {
			return err
		}
		w.acked = append(w.acked, e)
		w.ballot = ballot
		if i%10 == 9 {
			s := quorum.Snapshot{Index: e.Index - 3, Term: w.acked[i-3].Term, Data: []byte("state")}
			if err := j.Install(s, ballot, w.acked[s.Index:]); err != nil {
				return err
			}
			w.snap = s.Index
		}
	}
	return nil
}

// check compares what came back with what was acknowledged: nothing of that
// may be missing. More may be there, since a write may last unacknowledged.
func (w *writer) check(state quorum.PersistentState) error {
	if state.HardState.Term < w.ballot.Term {
		return fmt.Errorf("got term %d, want %d or later", state.HardState.Term, w.ballot.Term)
	}
	if state.Snapshot.Index < w.snap {
		return fmt.Errorf("got snapshot %d, want %d or later", state.Snapshot.Index, w.snap)
	}
	last := state.Snapshot.Index + uint64(len(state.Entries))
	if last < uint64(len(w.acked)) {
		return fmt.Errorf("got entries up to %d, want %d", last, len(w.acked))
	}
	for i, e := range state.Entries {
		at := int(state.Snapshot.Index) + i
		if at < len(w.acked) && string(e.Data) != string(w.acked[at].Data) {
			return fmt.Errorf("entry %d: got %q, want %q", e.Index, e.Data, w.acked[at].Data)
		}
	}
	return nil
}

// crashEverywhere crashes at every operation of a run, comes back, and
// returns the first failure.
func crashEverywhere(lying bool) error {
	const entries = 45
	whole := &writer{disk: NewMemory()}
	if err := whole.write(entries); err != nil {
		return err
	}
	for at := 1; at <= whole.disk.Operations(); at++ {
		random := rand.New(rand.NewPCG(uint64(at), 1))
		w := &writer{disk: NewMemory()}
		w.disk.Lying = lying
		w.disk.CrashAt = at
		if err := w.write(entries); err == nil {
			return fmt.Errorf("crash at %d: the write went on", at)
		}
		w.disk.Crash(random)
		if err := w.write(entries); err != nil {
			return fmt.Errorf("crash at %d: %v", at, err)
		}
	}
	return nil
}

// TestCrashEverywhere kills the journal at every write point: what was
// acknowledged is there afterwards. Its twin acknowledges before it syncs.
func TestCrashEverywhere(t *testing.T) {
	if got := crashEverywhere(false); got != nil {
		t.Errorf("got %v, want no failure", got)
	}
	got := crashEverywhere(true)
	if got == nil {
		t.Error("twin: got no failure with a disk that doesn't sync, want the check to catch it")
	}
	t.Logf("twin: %v", got)
}

// TestFlippedBits flips each bit of a log in turn: the journal refuses to
// open it, or reads back all entries but never fewer without an error.
func TestFlippedBits(t *testing.T) {
	w := &writer{disk: NewMemory()}
	if err := w.write(8); err != nil {
		t.Fatal(err)
	}
	bits := 8 * w.disk.Size(logFile)
	var refused int
	for bit := range bits {
		w := &writer{disk: NewMemory()}
		if err := w.write(8); err != nil {
			t.Fatal(err)
		}
		w.disk.Flip(logFile, bit)
		_, state, err := New(w.disk)
		switch {
		case err != nil && fault.Of(err) == fault.Broken:
			refused++
		case err != nil:
			t.Errorf("bit %d: got kind %s, want %s", bit, fault.Of(err), fault.Broken)
		case len(state.Entries) < 8:
			t.Errorf("bit %d: got %d entries without an error, want 8 or an error", bit, len(state.Entries))
		}
	}
	t.Logf("%d of %d flips refused", refused, bits)
}

// TestFailures has writes and syncs fail: the journal goes on refusing, and a
// new start finds what was acknowledged.
func TestFailures(t *testing.T) {
	var seen strings.Builder
	for _, failure := range []error{syscall.EIO, syscall.ENOSPC} {
		w := &writer{disk: NewMemory()}
		if err := w.write(5); err != nil {
			t.Fatal(err)
		}
		j, _, err := New(w.disk)
		if err != nil {
			t.Fatal(err)
		}
		w.disk.Fail = failure
		entry := []quorum.Entry{{Index: 6, Term: 1}}
		first := j.Append(nil, entry)
		w.disk.Fail = nil
		second := j.Append(nil, entry)
		fmt.Fprintf(&seen, "%v: append: %v; append after that: %v\n", failure, first, second)
		_, state, err := New(w.disk)
		fmt.Fprintf(&seen, "%v: new start: %d entries, error %v\n", failure, len(state.Entries), err)
	}
	golden.Check(t, "failures.golden", seen.String())
}

// TestFolder keeps entries in a real folder, and keeps a second process out.
func TestFolder(t *testing.T) {
	path := t.TempDir()
	folder, err := NewFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := NewFolder(path); fault.Of(err) != fault.Conflict {
		t.Errorf("second opening: got %v, want kind %s", err, fault.Conflict)
	}
	if err := WriteIdentity(folder, Identity{ID: "a#1", Instance: "a"}); err != nil {
		t.Fatal(err)
	}
	j, _, err := New(folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Append(&quorum.HardState{Term: 3}, []quorum.Entry{{Index: 1, Term: 3}}); err != nil {
		t.Fatal(err)
	}
	_ = j.Close()
	_ = folder.Close()
	folder, err = NewFolder(path)
	if err != nil {
		t.Fatal(err)
	}
	id, known, err := ReadIdentity(folder)
	if err != nil || !known || id.ID != "a#1" {
		t.Errorf("got identity %v, %v, %v, want a#1", id, known, err)
	}
	_, state, err := New(folder)
	if err != nil || len(state.Entries) != 1 || state.HardState.Term != 3 {
		t.Errorf("got %+v, %v, want one entry of term 3", state, err)
	}
}

// FuzzReplay reads damaged logs: an error or a state, never a panic.
func FuzzReplay(f *testing.F) {
	w := &writer{disk: NewMemory()}
	if err := w.write(12); err != nil {
		f.Fatal(err)
	}
	f.Add(w.disk.files[logFile].text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var state quorum.PersistentState
		whole, err := replay(text, &state)
		if err == nil && whole > len(text) {
			t.Errorf("got %d whole bytes of %d", whole, len(text))
		}
	})
}
