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

// journalWriter writes entries and snapshots to a journal and records what was
// acknowledged.
type journalWriter struct {
	disk          *MemoryDisk
	acked         []quorum.Entry
	hardState     quorum.HardState
	snapshotIndex uint64
}

// write opens the journal, checks its content and appends entries until count
// entries are acknowledged or an operation fails. Every tenth entry it installs
// a snapshot.
func (w *journalWriter) write(count int) error {
	j, state, err := Open(w.disk)
	if err != nil {
		return err
	}
	if err := w.check(state); err != nil {
		return err
	}
	w.acked = append(slices.Clone(w.acked[:state.Snapshot.Index]), state.Entries...)
	for i := len(w.acked); i < count; i++ {
		e := quorum.Entry{Index: uint64(i + 1), Term: uint64(i/7 + 1), Data: []byte(fmt.Sprint("entry ", i))}
		hardState := quorum.HardState{Term: e.Term, Vote: "a"}
		if err := j.Append(&hardState, []quorum.Entry{e}); err != nil {
			return err
		}
		w.acked = append(w.acked, e)
		w.hardState = hardState
		if i%10 == 9 {
			s := quorum.Snapshot{Index: e.Index - 3, Term: w.acked[i-3].Term, Data: []byte("state")}
			if err := j.Install(s, hardState, w.acked[s.Index:]); err != nil {
				return err
			}
			w.snapshotIndex = s.Index
		}
	}
	return nil
}

// check checks that the state read from disk has everything that was
// acknowledged. It may have more, since a write may be durable without having
// been acknowledged.
func (w *journalWriter) check(state quorum.PersistentState) error {
	if state.HardState.Term < w.hardState.Term {
		return fmt.Errorf("got term %d, want %d or later", state.HardState.Term, w.hardState.Term)
	}
	if state.Snapshot.Index < w.snapshotIndex {
		return fmt.Errorf("got snapshot %d, want %d or later", state.Snapshot.Index, w.snapshotIndex)
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

// crashAtEachOperation repeats the same writes with a crash at each operation in
// turn, restarts and checks the journal. It returns the first failure.
func crashAtEachOperation(ignoreSyncs bool) error {
	const entries = 45
	reference := &journalWriter{disk: NewMemoryDisk()}
	if err := reference.write(entries); err != nil {
		return err
	}
	for at := 1; at <= reference.disk.OperationCount(); at++ {
		random := rand.New(rand.NewPCG(uint64(at), 1))
		w := &journalWriter{disk: NewMemoryDisk()}
		w.disk.IgnoreSyncs = ignoreSyncs
		w.disk.CrashAt = at
		if err := w.write(entries); err == nil {
			return fmt.Errorf("crash at %d: the writes succeeded", at)
		}
		w.disk.Crash(random)
		if err := w.write(entries); err != nil {
			return fmt.Errorf("crash at %d: %v", at, err)
		}
	}
	return nil
}

// TestCrashEverywhere guards against the loss of acknowledged entries by a crash
// at any operation. To show that the check detects such a loss, it also runs
// with a disk that doesn't sync.
func TestCrashEverywhere(t *testing.T) {
	if got := crashAtEachOperation(false); got != nil {
		t.Errorf("got %v, want no failure", got)
	}
	got := crashAtEachOperation(true)
	if got == nil {
		t.Error("got no failure with a disk that doesn't sync, want the check to detect it")
	}
	t.Logf("with a disk that doesn't sync: %v", got)
}

// TestFlippedBits guards against a bit error being taken for an interrupted
// write, which would truncate acknowledged entries. For each bit of a log, the
// journal must fail to open or return all entries.
func TestFlippedBits(t *testing.T) {
	w := &journalWriter{disk: NewMemoryDisk()}
	if err := w.write(8); err != nil {
		t.Fatal(err)
	}
	bits := 8 * w.disk.FileSize(logFile)
	var refused int
	for bit := range bits {
		w := &journalWriter{disk: NewMemoryDisk()}
		if err := w.write(8); err != nil {
			t.Fatal(err)
		}
		w.disk.FlipBit(logFile, bit)
		_, state, err := Open(w.disk)
		switch {
		case err != nil && fault.KindOf(err) == fault.Broken:
			refused++
		case err != nil:
			t.Errorf("bit %d: got kind %s, want %s", bit, fault.KindOf(err), fault.Broken)
		case len(state.Entries) < 8:
			t.Errorf("bit %d: got %d entries without an error, want 8 or an error", bit, len(state.Entries))
		}
	}
	t.Logf("%d of %d flips refused", refused, bits)
}

// TestFailures checks that a journal fails permanently after a failed write or
// sync, and that all acknowledged entries can be read after a restart.
func TestFailures(t *testing.T) {
	var seen strings.Builder
	for _, failure := range []error{syscall.EIO, syscall.ENOSPC} {
		w := &journalWriter{disk: NewMemoryDisk()}
		if err := w.write(5); err != nil {
			t.Fatal(err)
		}
		j, _, err := Open(w.disk)
		if err != nil {
			t.Fatal(err)
		}
		w.disk.WriteError = failure
		entry := []quorum.Entry{{Index: 6, Term: 1}}
		first := j.Append(nil, entry)
		w.disk.WriteError = nil
		second := j.Append(nil, entry)
		fmt.Fprintf(&seen, "%v: append: %v; append after that: %v\n", failure, first, second)
		_, state, err := Open(w.disk)
		fmt.Fprintf(&seen, "%v: new start: %d entries, error %v\n", failure, len(state.Entries), err)
	}
	golden.Check(t, "failures.golden", seen.String())
}

// TestDirectory writes and reads back a journal in the file system, and checks that
// the directory can't be opened twice.
func TestDirectory(t *testing.T) {
	path := t.TempDir()
	directory, err := OpenDirectory(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenDirectory(path); fault.KindOf(err) != fault.Conflict {
		t.Errorf("second opening: got %v, want kind %s", err, fault.Conflict)
	}
	if err := WriteIdentity(directory, Identity{ID: "a#1", Instance: "a"}); err != nil {
		t.Fatal(err)
	}
	j, _, err := Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	if err := j.Append(&quorum.HardState{Term: 3}, []quorum.Entry{{Index: 1, Term: 3}}); err != nil {
		t.Fatal(err)
	}
	_ = j.Close()
	_ = directory.Close()
	directory, err = OpenDirectory(path)
	if err != nil {
		t.Fatal(err)
	}
	id, known, err := ReadIdentity(directory)
	if err != nil || !known || id.ID != "a#1" {
		t.Errorf("got identity %v, %v, %v, want a#1", id, known, err)
	}
	_, state, err := Open(directory)
	if err != nil || len(state.Entries) != 1 || state.HardState.Term != 3 {
		t.Errorf("got %+v, %v, want one entry of term 3", state, err)
	}
}

// FuzzReplay checks that damaged logs don't cause a panic.
func FuzzReplay(f *testing.F) {
	w := &journalWriter{disk: NewMemoryDisk()}
	if err := w.write(12); err != nil {
		f.Fatal(err)
	}
	f.Add(w.disk.files[logFile].content)
	f.Fuzz(func(t *testing.T, data []byte) {
		var state quorum.PersistentState
		size, err := replay(data, &state)
		if err == nil && size > len(data) {
			t.Errorf("got size %d of a log of %d bytes", size, len(data))
		}
	})
}
