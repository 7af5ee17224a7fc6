// Package wal keeps a replica's log on a disk.
//
// A data folder holds four files. "identity" names the replica. "log" is a
// sequence of records, each written and synced as one; "snapshot" replaces
// the log up to an index. "lock" keeps a second process out. A record is a
// mark, a length with a copy, a checksum and a CBOR value.
//
// A record is acknowledged only after it is synced. When the folder is opened,
// a last record that was never whole on the disk is cut off, because it was
// never acknowledged. Anything else that doesn't match its checksum is refused:
// to cut off acknowledged records would be to forget votes and entries.
package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io/fs"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"endivedeck.example/fault"
	"endivedeck.example/quorum"
)

const (
	logFile      = "log"
	snapshotFile = "snapshot"
	identityFile = "identity"
	newSuffix    = ".new"

	headBytes   = 20 // mark 4, length 4, the length inverted 4, checksum 8
	sectorBytes = 512
	maxRecord   = 1 << 30
)

var (
	mark = []byte{0xE7, 'd', 'k', 0x01}

	_ quorum.Storage = (*Journal)(nil)
)

type (
	// Disk is one folder on a disk.
	Disk interface {
		// Read returns a file's content, or an error that is fs.ErrNotExist.
		Read(name string) ([]byte, error)

		// Create opens an empty file for writing, in place of one that is there.
		Create(name string) (File, error)

		// Append opens a file for writing behind its first size bytes and
		// drops what comes after them.
		Append(name string, size int64) (File, error)

		// Rename gives a file the place of another, durably.
		Rename(from, to string) error
	}

	// File is a file open for writing.
	File interface {
		Write(p []byte) (int, error)
		Sync() error // returns nil only when all that was written is durable
		Close() error
	}

	// Identity names a replica for ever. A folder that is lost takes its
	// identity with it.
	Identity struct {
		ID       string `cbor:"1,keyasint"`
		Instance string `cbor:"2,keyasint"`
	}

	// Journal implements quorum.Keeper on a Disk. Create it with New. It is
	// for one goroutine.
	Journal struct {
		disk   Disk
		file   File
		size   int64
		broken error
	}

	record struct {
		Ballot  *quorum.HardState `cbor:"1,keyasint,omitempty"`
		Entries []quorum.Entry    `cbor:"2,keyasint,omitempty"`
	}
)

// New opens the journal in the folder and returns the state that it holds,
// which is empty for a new folder. Damage is fault.Broken.
func New(disk Disk) (*Journal, quorum.PersistentState, error) {
	var state quorum.PersistentState
	if err := readSnapshot(disk, &state.Snapshot); err != nil {
		return nil, state, err
	}
	text, err := disk.Read(logFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, state, wrap("reading the log", err)
	}
	whole, err := replay(text, &state)
	if err != nil {
		return nil, state, err
	}
	file, err := disk.Append(logFile, int64(whole))
	if err != nil {
		return nil, state, wrap("opening the log", err)
	}
	if err := file.Sync(); err != nil {
		return nil, state, wrap("syncing the log", err)
	}
	return &Journal{disk: disk, file: file, size: int64(whole)}, state, nil
}

// Append implements quorum.Keeper.
func (j *Journal) Append(ballot *quorum.HardState, entries []quorum.Entry) error {
	if j.broken != nil {
		return j.broken
	}
	if err := write(j.file, record{Ballot: ballot, Entries: entries}); err != nil {
		return j.breakOff(err)
	}
	return nil
}

// Install implements quorum.Keeper. The snapshot is durable before the log
// that relies on it takes the old one's place; a crash between the two leaves
// a log that starts before the snapshot, which New accepts.
func (j *Journal) Install(s quorum.Snapshot, ballot quorum.HardState, entries []quorum.Entry) error {
	if j.broken != nil {
		return j.broken
	}
	if err := j.replaceFile(snapshotFile, s); err != nil {
		return j.breakOff(err)
	}
	_ = j.file.Close()
	if err := j.replaceFile(logFile, record{Ballot: &ballot, Entries: entries}); err != nil {
		return j.breakOff(err)
	}
	text, err := j.disk.Read(logFile)
	if err != nil {
		return j.breakOff(err)
	}
	j.file, err = j.disk.Append(logFile, int64(len(text)))
	if err != nil {
		return j.breakOff(err)
	}
	return nil
}

// Close closes the log file.
func (j *Journal) Close() error { return j.file.Close() }

// ReadIdentity returns the identity kept in the folder, and false for a
// folder without one.
func ReadIdentity(disk Disk) (Identity, bool, error) {
	var id Identity
	text, err := disk.Read(identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		return id, false, nil
	}
	if err != nil {
		return id, false, wrap("reading the identity", err)
	}
	if err := readOne(identityFile, text, &id); err != nil {
		return id, false, err
	}
	return id, true, nil
}

// WriteIdentity keeps an identity durably.
func WriteIdentity(disk Disk, id Identity) error {
	j := &Journal{disk: disk}
	return j.replaceFile(identityFile, id)
}

// breakOff ends the use of the journal: after a failed write or sync nobody
// knows what the disk holds, and only a restart reads it back.
func (j *Journal) breakOff(err error) error {
	j.broken = wrap("the disk failed", err)
	return j.broken
}

// replaceFile writes value as the only record of a file, durably and at once.
func (j *Journal) replaceFile(name string, value any) error {
	file, err := j.disk.Create(name + newSuffix)
	if err != nil {
		return wrap("creating "+name, err)
	}
	if err := write(file, value); err != nil {
		_ = file.Close()
		return wrap("writing "+name, err)
	}
	if err := file.Close(); err != nil {
		return wrap("closing "+name, err)
	}
	if err := j.disk.Rename(name+newSuffix, name); err != nil {
		return wrap("renaming "+name, err)
	}
	return nil
}

func write(file File, value any) error {
	body, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	text := make([]byte, headBytes, headBytes+len(body))
	copy(text, mark)
	binary.LittleEndian.PutUint32(text[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(text[8:], ^uint32(len(body)))
	binary.LittleEndian.PutUint64(text[12:], xxhash.Sum64(body))
	if _, err := file.Write(append(text, body...)); err != nil {
		return err
	}
	return file.Sync()
}

func readSnapshot(disk Disk, s *quorum.Snapshot) error {
	text, err := disk.Read(snapshotFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return wrap("reading the snapshot", err)
	}
	return readOne(snapshotFile, text, s)
}

// readOne reads a file that holds one record and was put in place whole.
func readOne(name string, text []byte, value any) error {
	body, size, ok := next(text)
	if !ok || size != len(text) {
		return fault.New(fault.Broken, fault.No, "%s is damaged", name)
	}
	if err := cbor.Unmarshal(body, value); err != nil {
		return fault.New(fault.Broken, fault.No, "%s is damaged: %v", name, err)
	}
	return nil
}

// replay adds the records of a log to state and returns how many bytes of it
// are whole records.
func replay(text []byte, state *quorum.PersistentState) (int, error) {
	at := 0
	for at < len(text) {
		body, size, ok := next(text[at:])
		if !ok {
			if torn(text, at) {
				return at, nil
			}
			return 0, fault.New(fault.Broken, fault.No, "the log is damaged at byte %d: the checksum doesn't match and the record isn't a torn last one; restore the instance as one that lost its disk", at)
		}
		var r record
		if err := cbor.Unmarshal(body, &r); err != nil {
			return 0, fault.New(fault.Broken, fault.No, "the log is damaged at byte %d: %v", at, err)
		}
		if err := add(state, r); err != nil {
			return 0, err
		}
		at += size
	}
	return at, nil
}

func add(state *quorum.PersistentState, r record) error {
	if r.Ballot != nil {
		state.HardState = *r.Ballot
	}
	entries := r.Entries
	for len(entries) > 0 && entries[0].Index <= state.Snapshot.Index {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return nil
	}
	keep := entries[0].Index - state.Snapshot.Index - 1
	if keep > uint64(len(state.Entries)) {
		return fault.New(fault.Broken, fault.No, "the log lacks the entries before %d", entries[0].Index)
	}
	state.Entries = append(state.Entries[:keep:keep], entries...)
	return nil
}

// next returns the first record's value and the record's size.
func next(text []byte) (body []byte, size int, ok bool) {
	length, ok := header(text)
	if !ok || length > len(text)-headBytes {
		return nil, 0, false
	}
	body = text[headBytes : headBytes+length]
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(text[12:]) {
		return nil, 0, false
	}
	return body, headBytes + length, true
}

// header returns the length of the first record's value, and false when the
// record's head is damaged or not there as a whole.
func header(text []byte) (int, bool) {
	if len(text) < headBytes || !bytes.HasPrefix(text, mark) {
		return 0, false
	}
	length := binary.LittleEndian.Uint32(text[4:])
	if binary.LittleEndian.Uint32(text[8:]) != ^length || length > maxRecord {
		return 0, false
	}
	return int(length), true
}

// torn reports whether the damage at byte start is that of a last write that
// a crash interrupted: the file ends inside of the record, or a sector of it
// was never written. No whole record follows.
func torn(text []byte, start int) bool {
	rest := text[start:]
	if wholeFollows(rest[1:]) {
		return false
	}
	if len(rest) < headBytes {
		return true
	}
	// A length that its copy confirms isn't a flipped one.
	if length, ok := header(rest); ok && length > len(rest)-headBytes {
		return true
	}
	return hasBlankSector(text, start)
}

func wholeFollows(text []byte) bool {
	for {
		at := bytes.Index(text, mark)
		if at < 0 {
			return false
		}
		if _, _, ok := next(text[at:]); ok {
			return true
		}
		text = text[at+1:]
	}
}

func hasBlankSector(text []byte, start int) bool {
	var blank [sectorBytes]byte
	for at := start; at < len(text); {
		end := min((at/sectorBytes+1)*sectorBytes, len(text))
		if bytes.Equal(text[at:end], blank[:end-at]) {
			return true
		}
		at = end
	}
	return false
}

func wrap(what string, err error) error {
	return fault.New(fault.Broken, fault.Unknown, "%s: %v", what, err)
}
