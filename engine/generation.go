package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/message"
)

// generation receives one answer from an engine, over one or more connections.
type generation struct {
	client     *LinesClient
	request    message.GenerateRequest
	nextOffset int // offset of the next token expected
	yield      func(message.Chunk) error
	timedOut   bool // nothing arrived on the last connection for silenceTimeout
}

// start sends the request and receives the answer over the first connection.
// If that connection times out, the request may or may not have reached the
// engine, so start tries to resume the stream, and sends the request again only
// if the engine doesn't have it. With resumable, the caller may resume the
// stream after another timeout.
func (g *generation) start(ctx context.Context) (resumable bool, err error) {
	body := streamRequest{
		ID:              g.request.ID,
		Model:           g.request.Model,
		Prompt:          g.request.Prompt,
		GeneratedTokens: g.request.Offset,
		MaxTokens:       g.request.MaxTokens,
		Priority:        g.request.Priority,
	}
	err = g.stream(ctx, func(ctx context.Context) (io.ReadCloser, error) {
		return g.client.post(ctx, "/v1/streams", body)
	})
	if !g.timedOut {
		return false, err
	}
	err = g.resume(ctx)
	lost := fault.KindOf(err) == fault.NotFound
	if lost {
		// The engine has no such stream: the request was lost and may be sent again.
		err = g.stream(ctx, func(ctx context.Context) (io.ReadCloser, error) {
			return g.client.post(ctx, "/v1/streams", body)
		})
	}
	if !lost || g.nextOffset > g.request.Offset {
		err = mayHaveRun(err)
	}
	return true, err
}

// mayHaveRun returns err with Ran changed from NotRun to MaybeRun, for an engine that
// may have got the request before it refused to go on with the answer.
func mayHaveRun(err error) error {
	e := fault.FromError(err)
	if e == nil || e.Ran != fault.NotRun {
		return err
	}
	return fault.New(e.Kind, fault.MaybeRun, "%s", e.Message)
}

// resume requests the rest of the stream over another connection.
func (g *generation) resume(ctx context.Context) error {
	address := fmt.Sprintf("%s/v1/streams/%s?offset=%d", g.client.base, url.PathEscape(g.request.ID), g.nextOffset)
	return g.stream(ctx, func(ctx context.Context) (io.ReadCloser, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
		if err != nil {
			return nil, fault.New(fault.Malformed, fault.NotRun, "creating a request to the engine: %v", err)
		}
		return g.client.send(request)
	})
}

// stream receives the answer over one connection, until the answer is complete
// or nothing has arrived for silenceTimeout.
func (g *generation) stream(ctx context.Context, open func(context.Context) (io.ReadCloser, error)) error {
	g.timedOut = false
	connCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silenceTimeout, cancel)
	defer watchdog.Stop()
	body, err := open(connCtx)
	if err == nil {
		defer body.Close()
		err = g.readLines(body, watchdog)
	}
	g.timedOut = err != nil && connCtx.Err() != nil && ctx.Err() == nil
	return err
}

// readLines calls yield with each line of a response, until the last chunk of
// the answer. Each line resets the watchdog.
func (g *generation) readLines(body io.Reader, watchdog *time.Timer) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		watchdog.Reset(silenceTimeout)
		var line streamLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			if isTruncated(scanner.Bytes()) {
				return fault.EngineEnd("the engine's stream ended within a line (next token: %d)", g.nextOffset)
			}
			return fault.New(fault.Broken, fault.MaybeRun, "decoding a line of the engine's stream: %v", err)
		}
		if err := g.yield(message.Chunk(line)); err != nil {
			return err
		}
		if line.ID == g.request.ID {
			g.nextOffset = max(g.nextOffset, line.Offset+line.Tokens)
		}
		if line.Final && line.ID == g.request.ID {
			return nil
		}
	}
	err := scanner.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return fault.New(fault.Broken, fault.MaybeRun, "reading the engine's stream: %v (next token: %d)", err, g.nextOffset)
	}
	if err == nil {
		err = errors.New("unexpected end of stream")
	}
	return fault.EngineEnd("reading the engine's stream: %v (next token: %d)", err, g.nextOffset)
}

// isTruncated reports whether line is the beginning of a JSON value. The scanner
// returns such a line when the stream ends within it.
func isTruncated(line []byte) bool {
	var value json.RawMessage
	return errors.Is(json.NewDecoder(bytes.NewReader(line)).Decode(&value), io.ErrUnexpectedEOF)
}
