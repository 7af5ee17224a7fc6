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
	wholeMost  = 16 << 20 // bytes of an answer that is read before it is passed on
	streamRead = 8 << 10  // bytes of a stream read at once
	eventMost  = 1 << 20  // bytes of one event

	// stallTime is how long a stream that may go on elsewhere may be quiet.
	// Callers give up after 2 s at the earliest.
	stallTime = 900 * time.Millisecond
)

// carry carries one server's answer to the caller.
type carry struct {
	job     *job
	ticket  *placement.Ticket
	answer  *upstream.Response
	verdict ResponseClass
	sent    time.Time
	cancel  context.CancelFunc
}

// whole reads the whole answer before it passes it on, so that nothing half
// reaches the caller and what may run again can be asked for elsewhere.
func (c *carry) whole() error {
	j := c.job
	body, err := readAll(c.answer, wholeMost)
	took := time.Since(c.sent)
	if err != nil {
		c.end(placement.NoResponse, took)
		return fault.New(fault.Broken, fault.Unknown, "the answer of %s broke off: %v", c.ticket.Server.ID, err)
	}
	if c.verdict == Failed {
		c.end(placement.Failed, took)
		j.failed = &failedAnswer{status: c.answer.Status, header: c.answer.Header, body: body}
		return fault.New(fault.Broken, fault.Yes, "%s answered with status %d", c.ticket.Server.ID, c.answer.Status)
	}
	c.end(placement.Succeeded, took)
	return j.give(c.answer.Status, c.answer.Header, body)
}

// stream passes events on as they come.
func (c *carry) stream() error {
	j := c.job
	var stall *time.Timer
	if j.route.Resumable {
		stall = time.AfterFunc(stallTime, c.cancel)
		defer stall.Stop()
	}
	e := &events{}
	buf := make([]byte, streamRead)
	for {
		n, err := c.answer.Read(buf)
		if n > 0 && stall != nil {
			stall.Reset(stallTime)
		}
		whole, tooLarge := e.add(buf[:n])
		if err == io.EOF {
			whole = append(whole, e.rest...)
		}
		if gone := c.pass(whole, err == io.EOF); gone != nil {
			return gone
		}
		switch {
		case err == io.EOF:
			c.end(placement.Succeeded, j.first)
			return nil
		case err != nil || tooLarge:
			return c.lost(err)
		}
	}
}

// pass sends whole events to the caller. The header leaves with the first.
func (c *carry) pass(whole []byte, over bool) error {
	j := c.job
	if len(whole) == 0 && (!over || j.out.begun) {
		return nil
	}
	if j.first == 0 {
		j.first = time.Since(j.start)
		c.ticket.ResponseBegun(time.Now(), time.Since(c.sent))
	}
	if !j.out.begun {
		c.answer.Header.Del("Content-Length") // another server may end the stream
		j.out.begin(j.relay.dialect, c.answer.Status, c.answer.Header)
	}
	j.last = j.relay.dialect.LastEventID(whole, j.last)
	if err := j.out.write(whole); err != nil {
		j.out.broken = true
		c.end(placement.Canceled, 0)
		return fault.New(fault.Canceled, fault.Yes, "the caller is gone: %v", err)
	}
	return nil
}

// lost decides what becomes of a stream that broke off.
func (c *carry) lost(err error) error {
	j := c.job
	c.answer.Close()
	if j.ctx.Err() != nil {
		c.end(placement.Canceled, 0)
	} else {
		c.end(placement.NoResponse, 0)
	}
	broken := fault.New(fault.Broken, fault.Unknown, "the stream of %s broke off: %v", c.ticket.Server.ID, err)
	if j.ctx.Err() != nil {
		broken = fault.New(fault.Deadline, fault.Unknown, "the stream took too long")
	}
	if !j.out.begun {
		return broken
	}
	// The caller has a part: only another server's rest makes it whole.
	for j.mayRepeat(broken) {
		j.direct = true
		j.noteAgain(broken)
		next := j.attempt()
		if next == nil || j.out.broken {
			return next
		}
		broken = next
	}
	j.out.broken = true
	return broken
}

func (c *carry) end(result placement.Result, first time.Duration) {
	c.ticket.End(time.Now(), placement.Outcome{Result: result, FirstByte: first})
}

// readAll reads a whole answer of at most the given size.
func readAll(answer *upstream.Response, most int64) ([]byte, error) {
	if answer.ContentLength > most {
		return nil, fault.New(fault.TooLarge, fault.Unknown, "an answer of %d bytes", answer.ContentLength)
	}
	body, err := io.ReadAll(io.LimitReader(answer, most+1))
	if err == nil && int64(len(body)) > most {
		err = fault.New(fault.TooLarge, fault.Unknown, "an answer of more than %d bytes", most)
	}
	return body, err
}

// events cuts a stream into whole events, which end with a blank line.
type events struct {
	rest []byte
}

// add takes bytes in and returns the events that are whole now. It reports
// whether an event is larger than it may be.
func (e *events) add(p []byte) (whole []byte, tooLarge bool) {
	e.rest = append(e.rest, p...)
	end := max(lastAfter(e.rest, "\n\n"), lastAfter(e.rest, "\r\n\r\n"))
	whole = e.rest[:end:end]
	e.rest = append([]byte(nil), e.rest[end:]...)
	return whole, len(e.rest) > eventMost
}

// lastAfter returns the place behind the last mark in text, or 0.
func lastAfter(text []byte, mark string) int {
	at := bytes.LastIndex(text, []byte(mark))
	if at < 0 {
		return 0
	}
	return at + len(mark)
}
