package sidecar

import (
	"context"
	"strings"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/pool"
	"endivedeck.example/rank"
	"endivedeck.example/wire"
)

const (
	expireInterval    = time.Second
	cancelTimeout     = time.Second
	keepaliveInterval = 300 * time.Millisecond // also while tokens arrive
	maxTokenBytes     = 256                    // of text a token on average; the longest tokens of vocabularies have about 128
)

type (
	// streamTable contains the answers that the engine generates or has
	// generated recently, so that an entry that lost its connection can fetch
	// the rest.
	streamTable struct {
		sidecar *Sidecar
		mu      rank.Mutex
		byID    map[string]*stream
	}

	// stream is one answer. The fields from chunks on are guarded by
	// streamTable.mu.
	stream struct {
		table        *streamTable
		request      message.GenerateRequest
		ctx          context.Context
		cancel       context.CancelFunc
		chunks       []message.Chunk
		nextOffset   int // offset of the next token expected
		textBytes    int // of chunks
		ended        bool
		err          error
		latestReader int           // number of the newest reader, which replaces earlier ones
		updated      chan struct{} // closed and replaced at each change
		startedAt    time.Time
		firstTokenAt time.Time
		lastTokenAt  time.Time
		detachedAt   time.Time // when the last reader detached
		hasReader    bool
	}
)

func newStreamTable(s *Sidecar) *streamTable {
	return &streamTable{sidecar: s, mu: rank.New(rank.Stream), byID: map[string]*stream{}}
}

// run periodically removes abandoned streams.
func (t *streamTable) run(ctx context.Context) {
	defer t.sidecar.background.Done()
	interval.Every(ctx, expireInterval, t.expire)
}

// expire cancels and removes the streams that have had no reader for longer
// than Settings.ResumeRetention.
func (t *streamTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.byID {
		if !s.hasReader && now.Sub(s.detachedAt) > t.sidecar.settings.ResumeRetention.Std() {
			delete(t.byID, id)
			s.cancel()
		}
	}
}

// serveGenerate serves message.MethodGenerate.
func (t *streamTable) serveGenerate(call *wire.ServerCall) {
	var request message.GenerateRequest
	if err := call.Decode(&request); err != nil {
		call.Fail(err)
		return
	}
	s, reader, err := t.attachOrStart(request)
	if err != nil {
		call.Fail(err)
		return
	}
	t.sendChunks(call, s, reader, request.Offset)
}

// attachOrStart returns the stream with the request's ID, or starts it, and the
// number of the new reader.
func (t *streamTable) attachOrStart(request message.GenerateRequest) (*stream, int, error) {
	if s, reader, err := t.attach(request); s != nil || err != nil {
		return s, reader, err
	}
	if request.Resume {
		return nil, 0, fault.New(fault.NotFound, fault.MaybeRun, "no stream to resume for request %s", request.ID)
	}
	if request.MaxTokens > t.sidecar.settings.MaxTokens {
		return nil, 0, fault.New(fault.TooLarge, fault.NotRun, "the answer is limited to %d tokens, requested %d",
			t.sidecar.settings.MaxTokens, request.MaxTokens)
	}
	if err := t.sidecar.admit(request.Customer, request.Revision); err != nil {
		return nil, 0, err
	}
	s, reader, added, err := t.attachOrAdd(request)
	if !added {
		t.sidecar.release()
		return s, reader, err
	}
	if err := t.sidecar.host.Pool.Submit(pool.Task(s)); err != nil {
		t.remove(s)
		t.sidecar.release()
		return nil, 0, err
	}
	return s, reader, nil
}

// attach makes the caller the reader of the stream with the request's ID. It
// returns nil if there is none.
func (t *streamTable) attach(request message.GenerateRequest) (*stream, int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[request.ID]
	if s == nil {
		return nil, 0, nil
	}
	reader, err := s.addReader(request)
	return s, reader, err
}

// addReader adds a reader, which replaces earlier ones, and returns its number. It
// fails if the tokens that the entry has received aren't those at the start of this
// answer, because another engine generated some: the rest would not fit them. The stream
// is then removed, but not by a resumption: the entry would ask for a new one at once,
// which the cancellation of the old one could end. The caller must hold streamTable.mu.
func (s *stream) addReader(request message.GenerateRequest) (int, error) {
	if !s.startsWith(request.Offset, request.ReceivedText) {
		if !request.Resume {
			delete(s.table.byID, s.request.ID)
			s.cancel()
		}
		return 0, fault.New(fault.NotFound, fault.MaybeRun, "the stream retained for request %s doesn't start with the %d tokens received", request.ID, request.Offset)
	}
	s.latestReader++
	s.hasReader = true
	s.notifyReaders()
	return s.latestReader, nil
}

// startsWith reports whether a chunk of the answer ends at offset and the text before
// it is received. The caller must hold streamTable.mu.
func (s *stream) startsWith(offset int, received string) bool {
	rest, ok := strings.CutPrefix(received, s.request.ReceivedText)
	next := s.request.Offset
	for _, chunk := range s.chunks {
		if !ok || next >= offset {
			break
		}
		rest, ok = strings.CutPrefix(rest, chunk.Text)
		next += chunk.Tokens
	}
	return ok && rest == "" && next == offset
}

// attachOrAdd adds a stream for a new request, with its first reader. If another call
// with the request has added it meanwhile, the caller becomes its reader.
func (t *streamTable) attachOrAdd(request message.GenerateRequest) (s *stream, reader int, added bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byID[request.ID]; s != nil {
		reader, err := s.addReader(request)
		return s, reader, false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.TimeLeft)
	s = &stream{
		table:        t,
		request:      request,
		ctx:          ctx,
		cancel:       cancel,
		nextOffset:   request.Offset,
		latestReader: 1,
		hasReader:    true,
		startedAt:    time.Now(),
		updated:      make(chan struct{}),
	}
	t.byID[request.ID] = s
	return s, s.latestReader, true, nil
}

// remove cancels a stream and removes it.
func (t *streamTable) remove(s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID[s.request.ID] == s {
		delete(t.byID, s.request.ID)
	}
	s.cancel()
}

// Run implements pool.Task: it runs the request on the engine.
func (s *stream) Run() {
	sidecar := s.table.sidecar
	defer sidecar.release()
	err := sidecar.engine.Generate(s.ctx, s.request, s.appendChunk)
	if s.ctx.Err() != nil {
		s.cancelEngine()
		if err != nil {
			err = fault.New(fault.DeadlineExceeded, fault.MaybeRun, "the deadline was exceeded or the answer was canceled")
		}
	}
	s.table.mu.Lock()
	if !s.ended {
		s.err = err
		s.ended = true
	}
	s.notifyReaders()
	complete := s.err == nil && !s.firstTokenAt.IsZero()
	measured := timing{firstToken: s.firstTokenAt.Sub(s.startedAt), decoding: s.lastTokenAt.Sub(s.firstTokenAt), tokens: s.nextOffset - s.request.Offset}
	s.table.mu.Unlock()
	if complete {
		sidecar.addToTotals(s.request, measured)
	}
}

// cancelEngine cancels the request at the engine. It has its own time-out,
// since the context of the stream has ended.
func (s *stream) cancelEngine() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = s.table.sidecar.engine.Cancel(ctx, s.request.ID)
}

// appendChunk adds a chunk received from the engine. It drops and counts chunks
// of other answers and duplicates, and drops chunks without tokens, which readers
// ignore. A gap before the chunk is an error, which ends the stream, and so are more
// tokens or more text than requested.
func (s *stream) appendChunk(chunk message.Chunk) error {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	metrics := s.table.sidecar.host.Metrics
	if chunk.ID != s.request.ID {
		metrics.GetOrCreateCounter("pieces_crossed_total").Inc()
		return nil
	}
	if chunk.Offset < s.nextOffset {
		metrics.GetOrCreateCounter("pieces_doubled_total").Inc()
		return nil
	}
	if chunk.Offset > s.nextOffset {
		return fault.New(fault.Broken, fault.MaybeRun, "gap in the engine's stream: want offset %d, got %d", s.nextOffset, chunk.Offset)
	}
	if chunk.Tokens == 0 && !chunk.Final {
		return nil
	}
	if textBytes := s.textBytes + len(chunk.Text); chunk.Tokens < 0 || textBytes > s.request.MaxTokens*maxTokenBytes {
		return fault.New(fault.Broken, fault.MaybeRun, "the engine sent %d tokens and %d bytes of text, limit %d for %d tokens", chunk.Tokens, textBytes, s.request.MaxTokens*maxTokenBytes, s.request.MaxTokens)
	}
	if tokens := s.nextOffset + chunk.Tokens; tokens > s.request.MaxTokens {
		return fault.New(fault.Broken, fault.MaybeRun, "the engine sent %d tokens, limit %d", tokens, s.request.MaxTokens)
	}
	s.lastTokenAt = time.Now()
	if s.firstTokenAt.IsZero() {
		s.firstTokenAt = s.lastTokenAt
	}
	s.chunks = append(s.chunks, chunk)
	s.textBytes += len(chunk.Text)
	s.nextOffset += chunk.Tokens
	s.ended = s.ended || chunk.Final
	s.notifyReaders()
	return nil
}

// notifyReaders wakes the readers. The caller must hold streamTable.mu.
func (s *stream) notifyReaders() {
	close(s.updated)
	s.updated = make(chan struct{})
}

// sendChunks sends an answer from offset on, until the answer ends, the
// connection to the entry is lost, or the entry has attached with another call.
// It sends a keepalive, which is a chunk without tokens, at the start and every
// keepaliveInterval.
func (t *streamTable) sendChunks(call *wire.ServerCall, s *stream, reader, offset int) {
	next := 0
	keepalive := time.NewTimer(0)
	defer keepalive.Stop()
	for {
		chunks, status := s.readChunks(reader, &next)
		for _, chunk := range chunks {
			if chunk.Offset < offset {
				continue
			}
			if err := call.Send(chunk); err != nil {
				t.detach(s, reader)
				call.End()
				return
			}
		}
		switch {
		case status.superseded:
			call.End()
			return
		case status.err != nil:
			t.remove(s)
			call.Fail(status.err)
			return
		case status.ended:
			// The stream remains until it expires, in case the entry did not receive the last chunks.
			t.detach(s, reader)
			call.End()
			return
		}
		select {
		case <-status.updated:
			continue
		case <-s.ctx.Done():
			s.table.endExpired(s)
			continue
		case <-keepalive.C:
		}
		keepalive.Reset(keepaliveInterval)
		if err := call.Send(message.Chunk{ID: s.request.ID, Offset: s.currentOffset()}); err != nil {
			t.detach(s, reader)
			call.End()
			return
		}
	}
}

// streamStatus is the status of a stream as seen by one reader.
type streamStatus struct {
	updated    chan struct{} // closed at the next change
	ended      bool
	err        error
	superseded bool // a newer reader has attached
}

// readChunks returns the chunks from index next on, and advances next past them.
func (s *stream) readChunks(reader int, next *int) ([]message.Chunk, streamStatus) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	chunks := s.chunks[*next:]
	*next = len(s.chunks)
	return chunks, streamStatus{updated: s.updated, ended: s.ended, err: s.err, superseded: s.latestReader != reader}
}

// currentOffset returns the offset of the next token expected.
func (s *stream) currentOffset() int {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	return s.nextOffset
}

// endExpired ends a stream whose context has ended, also one that no worker has
// started.
func (t *streamTable) endExpired(s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.ended {
		s.ended = true
		s.err = fault.New(fault.DeadlineExceeded, fault.MaybeRun, "the deadline was exceeded or the answer was canceled")
	}
}

// detach records that a reader has stopped, unless a newer one has attached.
func (t *streamTable) detach(s *stream, reader int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.latestReader == reader {
		s.hasReader = false
		s.detachedAt = time.Now()
	}
}

// serveCancel serves message.MethodCancel.
func (t *streamTable) serveCancel(call *wire.ServerCall) {
	var request message.CancelRequest
	if err := call.Decode(&request); err != nil {
		call.Fail(err)
		return
	}
	t.mu.Lock()
	s := t.byID[request.ID]
	t.mu.Unlock()
	if s != nil {
		t.remove(s)
	}
	call.Reply(message.Empty{})
}
