// Package wal implements the write-ahead log of a replica.
//
// A data directory holds four files:
//
//   - "identity" holds the ID of the replica.
//   - "log" is a sequence of records, each written and synced before the next.
//   - "snapshot" replaces the log entries up to an index.
//   - "lock" prevents a second process from opening the directory.
//
// A record is a magic number, a length and its complement, a checksum, and a
// CBOR value.
//
// A record is acknowledged only after it is synced. When the log is opened, an
// incomplete last record is truncated: its write was interrupted by a crash, so
// it was never acknowledged. Any other record that doesn't match its checksum
// is an error, because truncating acknowledged records could lose votes and
// log entries.
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
	tempSuffix   = ".new"

	headerBytes    = 20  // magic 4, length 4, complement of the length 4, checksum 8
	sectorBytes    = 512 // smallest unit that a disk writes as a whole
	maxRecordBytes = 1 << 30
)

var (
	magic = []byte{0xE7, 'd', 'k', 0x01}

	_ quorum.Storage = (*Journal)(nil)
)

type (
	// Disk is a directory of files on a disk.
	Disk interface {
		// ReadFile returns the content of a file. The error is fs.ErrNotExist if
		// there is none.
		ReadFile(name string) ([]byte, error)

		// Create opens a new file for writing and replaces an existing one.
		Create(name string) (File, error)

		// OpenAppend truncates a file to size bytes and opens it for appending.
		// It creates the file if there is none.
		OpenAppend(name string, size int64) (File, error)

		// Rename renames a file and replaces an existing one. When it returns,
		// the change is durable.
		Rename(from, to string) error
	}

	// File is a file open for writing.
	File interface {
		Write(p []byte) (int, error)
		Sync() error // returns nil only if everything written is durable
		Close() error
	}

	// Identity identifies a replica. It is created with the data directory and
	// never changes; a replica that loses its directory needs a new one.
	Identity struct {
		ID       string `cbor:"1,keyasint"`
		Instance string `cbor:"2,keyasint"`
	}

	// Journal implements quorum.Storage on a Disk. Create it with Open. Its
	// methods must not be called concurrently.
	Journal struct {
		disk    Disk
		file    File
		size    int64
		failure error // of the first write or sync that failed
	}

	// record is the value of a record of the log. Entries replace those in
	// earlier records from the index of the first one on.
	record struct {
		HardState *quorum.HardState `cbor:"1,keyasint,omitempty"`
		Entries   []quorum.Entry    `cbor:"2,keyasint,omitempty"`
	}
)

// Open opens the log on disk and returns the state it holds, which is empty for
// a new directory. A damaged log or snapshot is fault.Broken.
func Open(disk Disk) (*Journal, quorum.PersistentState, error) {
	var state quorum.PersistentState
	if err := readSnapshot(disk, &state.Snapshot); err != nil {
		return nil, state, err
	}
	data, err := disk.ReadFile(logFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, state, diskError("reading the log", err)
	}
	size, err := replay(data, &state)
	if err != nil {
		return nil, state, err
	}
	file, err := disk.OpenAppend(logFile, int64(size))
	if err != nil {
		return nil, state, diskError("opening the log", err)
	}
	if err := file.Sync(); err != nil {
		return nil, state, diskError("syncing the log", err)
	}
	return &Journal{disk: disk, file: file, size: int64(size)}, state, nil
}

// Append implements quorum.Storage.
func (j *Journal) Append(hardState *quorum.HardState, entries []quorum.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	if err := writeRecord(j.file, record{HardState: hardState, Entries: entries}); err != nil {
		return j.fail(err)
	}
	return nil
}

// Install implements quorum.Storage. It makes the snapshot durable before it
// replaces the log by one that starts after the snapshot. A crash in between
// leaves the old log, which starts earlier; Open accepts that.
func (j *Journal) Install(s quorum.Snapshot, hardState quorum.HardState, entries []quorum.Entry) error {
	if j.failure != nil {
		return j.failure
	}
	if err := j.replaceFile(snapshotFile, s); err != nil {
		return j.fail(err)
	}
	_ = j.file.Close()
	if err := j.replaceFile(logFile, record{HardState: &hardState, Entries: entries}); err != nil {
		return j.fail(err)
	}
	data, err := j.disk.ReadFile(logFile)
	if err != nil {
		return j.fail(err)
	}
	j.file, err = j.disk.OpenAppend(logFile, int64(len(data)))
	if err != nil {
		return j.fail(err)
	}
	return nil
}

// Close closes the log file.
func (j *Journal) Close() error { return j.file.Close() }

// ReadIdentity returns the identity of the replica, or false if the directory
// has none.
func ReadIdentity(disk Disk) (Identity, bool, error) {
	var id Identity
	data, err := disk.ReadFile(identityFile)
	if errors.Is(err, fs.ErrNotExist) {
		return id, false, nil
	}
	if err != nil {
		return id, false, diskError("reading the identity", err)
	}
	if err := decodeSingleRecord(identityFile, data, &id); err != nil {
		return id, false, err
	}
	return id, true, nil
}

// WriteIdentity stores the identity of the replica durably.
func WriteIdentity(disk Disk, id Identity) error {
	j := &Journal{disk: disk}
	return j.replaceFile(identityFile, id)
}

// fail makes all later writes fail. After a failed write or sync the content of
// the disk is unknown until the log is read again, which a restart does.
func (j *Journal) fail(err error) error {
	j.failure = diskError("the disk failed", err)
	return j.failure
}

// replaceFile replaces a file by one that holds value as its only record. The
// replacement is atomic and durable.
func (j *Journal) replaceFile(name string, value any) error {
	file, err := j.disk.Create(name + tempSuffix)
	if err != nil {
		return diskError("creating "+name, err)
	}
	if err := writeRecord(file, value); err != nil {
		_ = file.Close()
		return diskError("writing "+name, err)
	}
	if err := file.Close(); err != nil {
		return diskError("closing "+name, err)
	}
	if err := j.disk.Rename(name+tempSuffix, name); err != nil {
		return diskError("renaming "+name, err)
	}
	return nil
}

// writeRecord appends value as a record and syncs the file.
func writeRecord(file File, value any) error {
	body, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	data := make([]byte, headerBytes, headerBytes+len(body))
	copy(data, magic)
	binary.LittleEndian.PutUint32(data[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(data[8:], ^uint32(len(body)))
	binary.LittleEndian.PutUint64(data[12:], xxhash.Sum64(body))
	if _, err := file.Write(append(data, body...)); err != nil {
		return err
	}
	return file.Sync()
}

// readSnapshot reads the snapshot, if there is one.
func readSnapshot(disk Disk, s *quorum.Snapshot) error {
	data, err := disk.ReadFile(snapshotFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return diskError("reading the snapshot", err)
	}
	return decodeSingleRecord(snapshotFile, data, s)
}

// decodeSingleRecord decodes a file written by replaceFile. Such a file is never
// incomplete, so anything but one whole record is damage.
func decodeSingleRecord(name string, data []byte, value any) error {
	body, size, ok := decodeRecord(data)
	if !ok || size != len(data) {
		return fault.New(fault.Broken, fault.NotRun, "%s is damaged: want one whole record in %d bytes", name, len(data))
	}
	if err := cbor.Unmarshal(body, value); err != nil {
		return fault.New(fault.Broken, fault.NotRun, "%s is damaged: %v", name, err)
	}
	return nil
}

// replay applies the records of a log to state. It returns the size of the log
// without an incomplete last record.
func replay(data []byte, state *quorum.PersistentState) (int, error) {
	offset := 0
	for offset < len(data) {
		body, size, ok := decodeRecord(data[offset:])
		if !ok {
			if isTornWrite(data, offset) {
				return offset, nil
			}
			return 0, fault.New(fault.Broken, fault.NotRun, "the log is damaged at byte %d: the record is damaged and isn't an interrupted last write; recover the instance as one that lost its disk", offset)
		}
		var r record
		if err := cbor.Unmarshal(body, &r); err != nil {
			return 0, fault.New(fault.Broken, fault.NotRun, "the log is damaged at byte %d: %v", offset, err)
		}
		if err := applyRecord(state, r); err != nil {
			return 0, err
		}
		offset += size
	}
	return offset, nil
}

// applyRecord applies a record to state. It skips entries that the snapshot
// covers.
func applyRecord(state *quorum.PersistentState, r record) error {
	if r.HardState != nil {
		state.HardState = *r.HardState
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
		return fault.New(fault.Broken, fault.NotRun, "the log has a gap: entry %d follows entry %d", entries[0].Index, state.Snapshot.Index+uint64(len(state.Entries)))
	}
	state.Entries = append(state.Entries[:keep:keep], entries...)
	return nil
}

// decodeRecord returns the value and the size of the record at the start of
// data. It returns false if the record is incomplete or damaged.
func decodeRecord(data []byte) (body []byte, size int, ok bool) {
	length, ok := decodeHeader(data)
	if !ok || length > len(data)-headerBytes {
		return nil, 0, false
	}
	body = data[headerBytes : headerBytes+length]
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(data[12:]) {
		return nil, 0, false
	}
	return body, headerBytes + length, true
}

// decodeHeader returns the length of the value of the record at the start of
// data. It returns false if the header is incomplete or damaged.
func decodeHeader(data []byte) (int, bool) {
	if len(data) < headerBytes || !bytes.HasPrefix(data, magic) {
		return 0, false
	}
	length := binary.LittleEndian.Uint32(data[4:])
	if binary.LittleEndian.Uint32(data[8:]) != ^length || length > maxRecordBytes {
		return 0, false
	}
	return int(length), true
}

// isTornWrite reports whether the damaged record at offset start is the last
// write, interrupted by a crash: no whole record follows, and the file ends
// within the record or one of its sectors was never written.
func isTornWrite(data []byte, start int) bool {
	rest := data[start:]
	if containsRecord(rest[1:]) {
		return false
	}
	if len(rest) < headerBytes {
		return true
	}
	// A length that matches its complement isn't a bit error, so the record
	// really extends past the end of the file.
	if length, ok := decodeHeader(rest); ok && length > len(rest)-headerBytes {
		return true
	}
	return hasZeroSector(data, start)
}

// containsRecord reports whether a whole record starts anywhere in data.
func containsRecord(data []byte) bool {
	for {
		offset := bytes.Index(data, magic)
		if offset < 0 {
			return false
		}
		if _, _, ok := decodeRecord(data[offset:]); ok {
			return true
		}
		data = data[offset+1:]
	}
}

// hasZeroSector reports whether data from offset start on has a sector, or the
// part of one, that is all zeros. Such a sector was allocated but not written.
func hasZeroSector(data []byte, start int) bool {
	var zeros [sectorBytes]byte
	for offset := start; offset < len(data); {
		end := min((offset/sectorBytes+1)*sectorBytes, len(data))
		if bytes.Equal(data[offset:end], zeros[:end-offset]) {
			return true
		}
		offset = end
	}
	return false
}

// diskError wraps an error of the disk. Whether the operation took effect is
// unknown.
func diskError(operation string, err error) error {
	return fault.New(fault.Broken, fault.MaybeRun, "%s: %v", operation, err)
}
