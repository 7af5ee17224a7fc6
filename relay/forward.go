package relay

import (
	"bytes"
	"context"
	"io"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/placement"
	"endivedeck.example/upstream"
)

const (
	maxResponseBytes  = 16 << 20 // bytes of an answer that is read before it is passed on
	streamBufferBytes = 8 << 10  // bytes of a stream read at once
	maxEventBytes     = 1 << 20  // bytes of one event

	// streamStallTimeout is how long a stream that may go on elsewhere may be quiet.
	// Callers give up after 2 s at the earliest.
	streamStallTimeout = 900 * time.Millisecond
)

// responseForwarder carries one server's answer to the caller.
type responseForwarder struct {
	job     *job
	ticket  *placement.Ticket
	answer  *upstream.Answer
	verdict Verdict
	sentAt  time.Time
	cancel  context.CancelFunc
}

// forwardWhole reads the forwardWhole answer before it passes it on, so that nothing half
// reaches the caller and what may run again can be asked for elsewhere.
func (f *responseForwarder) forwardWhole() error {
	j := f.job
	body, err := readAll(f.answer, maxResponseBytes)
	took := time.Since(f.sentAt)
	if err != nil {
		f.endTicket(placement.Lost, took)
		return fault.New(fault.Broken, fault.Unknown, "the answer of %s broke off: %v", f.ticket.Server.ID, err)
	}
	if f.verdict == Failed {
		f.endTicket(placement.Failed, took)
		j.errorResponse = &errorResponse{status: f.answer.Status, header: f.answer.Header, body: body}
		return fault.New(fault.Broken, fault.Yes, "%s answered with status %d", f.ticket.Server.ID, f.answer.Status)
	}
	f.endTicket(placement.Good, took)
	return j.respond(f.answer.Status, f.answer.Header, body)
}

// forwardStream passes events on as they come.
func (f *responseForwarder) forwardStream() error {
	j := f.job
	var stall *time.Timer
	if j.route.Resumable {
		stall = time.AfterFunc(streamStallTimeout, f.cancel)
		defer stall.Stop()
	}
	splitter := &eventSplitter{}
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := f.answer.Read(buf)
		if n > 0 && stall != nil {
			stall.Reset(streamStallTimeout)
		}
		whole, tooLarge := splitter.feed(buf[:n])
		if err == io.EOF {
			whole = append(whole, splitter.partial...)
		}
		if forwardErr := f.forwardEvents(whole, err == io.EOF); forwardErr != nil {
			return forwardErr
		}
		switch {
		case err == io.EOF:
			f.endTicket(placement.Good, j.timeToFirstByte)
			return nil
		case err != nil || tooLarge:
			return f.handleBrokenStream(err)
		}
	}
}

// forwardEvents sends whole events to the caller. The header leaves with the first.
func (f *responseForwarder) forwardEvents(whole []byte, atEOF bool) error {
	j := f.job
	if len(whole) == 0 && (!atEOF || j.response.headerSent) {
		return nil
	}
	if j.timeToFirstByte == 0 {
		j.timeToFirstByte = time.Since(j.start)
		f.ticket.Begun(time.Now(), time.Since(f.sentAt))
	}
	if !j.response.headerSent {
		f.answer.Header.Del("Content-Length") // another server may end the stream
		j.response.sendHeader(j.relay.dialect, f.answer.Status, f.answer.Header)
	}
	j.lastEventID = j.relay.dialect.LastEvent(whole, j.lastEventID)
	if err := j.response.write(whole); err != nil {
		j.response.aborted = true
		f.endTicket(placement.Withdrew, 0)
		return fault.New(fault.Canceled, fault.Yes, "the caller is gone: %v", err)
	}
	return nil
}

// handleBrokenStream decides what becomes of a stream that broke off.
func (f *responseForwarder) handleBrokenStream(err error) error {
	j := f.job
	f.answer.Close()
	if j.ctx.Err() != nil {
		f.endTicket(placement.Withdrew, 0)
	} else {
		f.endTicket(placement.Lost, 0)
	}
	streamErr := fault.New(fault.Broken, fault.Unknown, "the stream of %s broke off: %v", f.ticket.Server.ID, err)
	if j.ctx.Err() != nil {
		streamErr = fault.New(fault.Deadline, fault.Unknown, "the stream took too long")
	}
	if !j.response.headerSent {
		return streamErr
	}
	// The caller has a part: only another server's rest makes it whole.
	for j.mayRetry(streamErr) {
		j.colocated = true
		j.logRetry(streamErr)
		attemptErr := j.attempt()
		if attemptErr == nil || j.response.aborted {
			return attemptErr
		}
		streamErr = attemptErr
	}
	j.response.aborted = true
	return streamErr
}

func (f *responseForwarder) endTicket(result placement.Result, first time.Duration) {
	f.ticket.End(time.Now(), placement.Outcome{Result: result, First: first})
}

// readAll reads a whole answer of at most the given size.
func readAll(answer *upstream.Answer, limit int64) ([]byte, error) {
	if answer.Length > limit {
		return nil, fault.New(fault.TooLarge, fault.Unknown, "an answer of %d bytes", answer.Length)
	}
	body, err := io.ReadAll(io.LimitReader(answer, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fault.New(fault.TooLarge, fault.Unknown, "an answer of more than %d bytes", limit)
	}
	return body, err
}

// eventSplitter cuts a stream into whole eventSplitter, which end with a blank line.
type eventSplitter struct {
	partial []byte
}

// feed takes bytes in and returns the events that are whole now. It reports
// whether an event is larger than it may be.
func (s *eventSplitter) feed(p []byte) (whole []byte, tooLarge bool) {
	s.partial = append(s.partial, p...)
	end := max(endOfLast(s.partial, "\n\n"), endOfLast(s.partial, "\r\n\r\n"))
	whole = s.partial[:end:end]
	s.partial = append([]byte(nil), s.partial[end:]...)
	return whole, len(s.partial) > maxEventBytes
}

// endOfLast returns the place behind the last mark in text, or 0.
func endOfLast(text []byte, separator string) int {
	at := bytes.LastIndex(text, []byte(separator))
	if at < 0 {
		return 0
	}
	return at + len(separator)
}
