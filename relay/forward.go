package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/placement"
	"endivedeck.example/upstream"
)

const (
	maxResponseBytes  = 4 << 20 // size of a response that is not a stream
	streamBufferBytes = 8 << 10 // size of the read buffer of a stream
	maxEventBytes     = 1 << 20 // size of an incomplete event
)

var (
	errNoEvent    = errors.New("the resumed stream has no event")
	errNotResumed = errors.New("the resumed stream does not go on after the last event")
	errLeft       = errors.New("the stream was left for another server")
)

// responseForwarder forwards the response of one backend server to the caller.
type responseForwarder struct {
	job      *job
	ticket   *placement.Ticket
	resp     *upstream.Response
	class    ResponseClass
	sentAt   time.Time
	cancel   context.CancelFunc
	events   int       // of this response that have been received
	firstAt  time.Time // when the first of them were received
	first    int       // number of these
	recorded time.Time // when the progress was last recorded
	lastAt   time.Time // when the latest event was received
}

// forwardBuffered reads the whole response before it forwards it. The caller never
// gets a truncated response, and a request that may run again can still be retried.
func (f *responseForwarder) forwardBuffered() error {
	j := f.job
	body, err := readResponse(f.resp, &j.buffers)
	elapsed := time.Since(f.sentAt)
	if err != nil {
		f.endTicket(placement.NoResponse, elapsed)
		tooLarge := fault.KindOf(err) == fault.TooLarge
		err = fault.New(fault.Broken, fault.MaybeRun, "reading the response of backend server %s failed: %v", f.ticket.Server.ID, err)
		if !tooLarge {
			j.recordServerEnd(f.ticket, err, 0)
		}
		return err
	}
	if f.class == Failed {
		f.endTicket(placement.Failed, elapsed)
		j.errorResponse = &errorResponse{status: f.resp.Status, header: f.resp.Header, body: body}
		return fault.New(fault.Broken, fault.HasRun, "backend server %s responded with status %d", f.ticket.Server.ID, f.resp.Status)
	}
	j.recordWhole()
	f.endTicket(placement.Succeeded, elapsed)
	return j.respond(f.resp.Status, f.resp.Header, body)
}

// forwardStream forwards the events of a stream as they arrive. If the stream stalls and
// another server accepts to go on with it, it goes on there.
func (f *responseForwarder) forwardStream() error {
	j := f.job
	stall := newStallTimer(j, j.executions, j.stallWait(0), f.cancel)
	broken, err := f.forwardUntilEnd(stall)
	next := stall.stop(broken)
	switch {
	case !broken && next != nil: // was given up in the moment of its end
		next.drop(placement.Canceled)
		return err
	case !broken:
		return err
	}
	err = f.endBroken(err)
	if next != nil {
		err = j.follow(next.exchange)
	}
	return j.resume(err)
}

// forwardUntilEnd forwards the events of the response until it ends. It reports whether
// the response is broken. Only complete events count as progress: a stalled server may
// still send a byte now and then. A stream that ends within an event is broken, whatever
// its framing says. So is one without any event if it is resumed, since the caller
// couldn't tell it from the rest, or if its end is that of the connection.
func (f *responseForwarder) forwardUntilEnd(stall *stallTimer) (broken bool, _ error) {
	j := f.job
	resumed := j.response.headerSent
	splitter := &eventSplitter{}
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := f.resp.Read(buf)
		complete, tooLarge := splitter.feed(buf[:n])
		partialBytes := cap(splitter.partial)
		tooLarge = !j.buffers.charge(partialBytes) || !j.buffers.resize(partialBytes) || tooLarge
		if len(complete) > 0 && !stall.received(time.Now()) {
			return true, errLeft
		}
		if err == io.EOF && len(bytes.TrimSpace(splitter.partial)) > 0 {
			err = io.ErrUnexpectedEOF
		}
		ids := j.relay.dialect.EventIDs(complete)
		if resumed && f.events == 0 && len(ids) > 0 && !j.position.continuedBy(ids[0]) {
			return true, errNotResumed
		}
		f.countEvents(len(ids))
		switch {
		case err != io.EOF || f.events > 0:
		case resumed:
			err = errNoEvent
		case !f.resp.Framed():
			err = io.ErrUnexpectedEOF
		}
		if forwardErr := f.forwardEvents(complete, ids, err == io.EOF); forwardErr != nil {
			return false, forwardErr
		}
		if len(complete) > 0 {
			stall.progress(time.Now(), j.position)
		}
		switch {
		case err == io.EOF:
			if f.events > 0 {
				j.recordWhole()
			}
			f.endTicket(placement.Succeeded, j.timeToFirstByte)
			return false, nil
		case err != nil || tooLarge:
			return true, err
		}
	}
}

// countEvents counts events that have been received, and records the progress of the
// answer now and then.
func (f *responseForwarder) countEvents(n int) {
	if n == 0 {
		return
	}
	now := time.Now()
	if f.events == 0 {
		f.job.countRun(now)
		f.firstAt, f.first = now, n
	} else {
		f.ticket.EventGap(now, now.Sub(f.lastAt)/time.Duration(n))
	}
	f.events += n
	f.lastAt = now
	if now.Sub(f.recorded) >= progressInterval {
		f.recorded = now
		f.ticket.Progress(now)
		f.job.recordProgress(now, f.events)
	}
}

// forwardEvents writes complete events to the caller. The response header is
// written together with the first of them, or at the end of an empty stream.
func (f *responseForwarder) forwardEvents(events []byte, ids []string, atEOF bool) error {
	j := f.job
	if len(events) == 0 && (!atEOF || j.response.headerSent) {
		return nil
	}
	if j.timeToFirstByte == 0 {
		j.timeToFirstByte = time.Since(j.start)
		f.ticket.ResponseBegun(time.Now(), time.Since(f.sentAt))
	}
	if !j.response.headerSent {
		f.resp.Header.Del("Content-Length") // wrong if another server resumes the stream
		j.response.sendHeader(j.relay.dialect, f.resp.Status, f.resp.Header)
	}
	j.position.advance(ids)
	now := time.Now()
	if !j.lastEvent.IsZero() {
		j.longestPause = max(j.longestPause, now.Sub(j.lastEvent))
	}
	j.lastEvent = now
	if err := j.response.write(events); err != nil {
		j.response.aborted = true
		f.endTicket(placement.Canceled, 0)
		return fault.New(fault.Canceled, fault.HasRun, "writing to the caller failed: %v", err)
	}
	return nil
}

// endBroken ends a stream that failed with err or was given up, and returns the error of
// the request if no other server goes on with it.
func (f *responseForwarder) endBroken(err error) error {
	j := f.job
	f.resp.Close()
	if j.ctx.Err() != nil {
		f.endTicket(placement.Canceled, 0)
	} else {
		f.endTicket(placement.NoResponse, 0)
	}
	streamErr := fault.New(fault.Broken, fault.MaybeRun, "stream from backend server %s failed: %v", f.ticket.Server.ID, err)
	if j.ctx.Err() != nil {
		streamErr = fault.New(fault.DeadlineExceeded, fault.MaybeRun, "deadline passed or request canceled while streaming from backend server %s", f.ticket.Server.ID)
	}
	if !errors.Is(err, errNoEvent) && !errors.Is(err, errNotResumed) {
		j.recordServerEnd(f.ticket, streamErr, f.events)
	}
	return streamErr
}

// resume has other servers go on with a stream that failed with err, or aborts the
// response if none can. If the caller has nothing of the stream, it returns err, so that
// the request can be retried as usual.
func (j *job) resume(err error) error {
	if !j.response.headerSent {
		return err
	}
	// The caller has a part of the stream, so only a server that sends the rest
	// can complete the response.
	for err != nil && !j.response.aborted {
		if !j.position.resumable() || !j.mayRetry(err) {
			j.response.aborted = true
			return err
		}
		j.colocated = true
		j.logRetry(err)
		err = j.attempt()
	}
	return err
}

func (f *responseForwarder) endTicket(result placement.Result, firstByte time.Duration) {
	f.ticket.End(time.Now(), placement.Outcome{Result: result, FirstByte: firstByte, Step: f.step()})
}

// step returns the mean time between the events of the response, or 0 if only the first
// ones have been received.
func (f *responseForwarder) step() time.Duration {
	if f.events <= f.first {
		return 0
	}
	return time.Since(f.firstAt) / time.Duration(f.events-f.first)
}

// readAll reads the body of a response. It fails with fault.TooLarge if the body is
// larger than limit bytes.
func readAll(resp *upstream.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit {
		return nil, fault.New(fault.TooLarge, fault.MaybeRun, "response of %d bytes exceeds the limit of %d", resp.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(resp, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fault.New(fault.TooLarge, fault.MaybeRun, "response exceeds the limit of %d bytes", limit)
	}
	return body, err
}

// eventSplitter splits a stream of server-sent events into complete events. An
// event ends with a blank line.
type eventSplitter struct {
	partial []byte // beginning of the next event
}

// feed adds bytes of the stream and returns the events that are complete now.
// tooLarge reports that the incomplete event exceeds maxEventBytes.
func (s *eventSplitter) feed(p []byte) (complete []byte, tooLarge bool) {
	s.partial = append(s.partial, p...)
	end := max(endOfLast(s.partial, "\n\n"), endOfLast(s.partial, "\r\n\r\n"))
	if end > 0 {
		complete = s.partial[:end:end]
		s.partial = append([]byte(nil), s.partial[end:]...)
	}
	return complete, len(s.partial) > maxEventBytes
}

// endOfLast returns the index after the last separator in text, or 0 if there is
// none.
func endOfLast(text []byte, separator string) int {
	i := bytes.LastIndex(text, []byte(separator))
	if i < 0 {
		return 0
	}
	return i + len(separator)
}
