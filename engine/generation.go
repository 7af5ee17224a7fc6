package engine

import (
	"bufio"
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

// generation is one answer on its way from an engine.
type generation struct {
	lines  *Lines
	work   message.Work
	offset int // of the next token
	give   func(message.Piece) error
	silent bool // the last connection went silent
}

// begin starts the answer and reports whether the engine may have begun it.
// Where the request itself met silence, the engine is asked whether it did.
func (g *generation) begin(ctx context.Context) (begun bool, err error) {
	ask := streamRequest{
		ID:       g.work.ID,
		Model:    g.work.Model,
		Prompt:   g.work.Prompt,
		Given:    g.work.Offset,
		Most:     g.work.Most,
		Priority: g.work.Priority,
	}
	err = g.over(ctx, func(ctx context.Context) (io.ReadCloser, error) {
		return g.lines.post(ctx, "/v1/streams", ask)
	})
	if !g.silent {
		return false, err
	}
	err = g.resume(ctx)
	if fault.Of(err) == fault.NotFound {
		// The engine doesn't know it, so the request got lost; it is sent once more.
		err = g.over(ctx, func(ctx context.Context) (io.ReadCloser, error) {
			return g.lines.post(ctx, "/v1/streams", ask)
		})
	}
	return true, err
}

func (g *generation) resume(ctx context.Context) error {
	path := fmt.Sprintf("%s/v1/streams/%s?offset=%d", g.lines.base, url.PathEscape(g.work.ID), g.offset)
	return g.over(ctx, func(ctx context.Context) (io.ReadCloser, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
		if err != nil {
			return nil, fault.New(fault.Malformed, fault.No, "%v", err)
		}
		return g.lines.do(r)
	})
}

// over reads the answer over one connection, until it ends or is silent.
func (g *generation) over(ctx context.Context, open func(context.Context) (io.ReadCloser, error)) error {
	g.silent = false
	conn, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := time.AfterFunc(silenceTime, cancel)
	defer watch.Stop()
	body, err := open(conn)
	if err == nil {
		defer body.Close()
		err = g.read(body, watch)
	}
	g.silent = err != nil && conn.Err() != nil && ctx.Err() == nil
	if g.silent {
		g.lines.client.CloseIdleConnections()
	}
	return err
}

func (g *generation) read(body io.Reader, watch *time.Timer) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		watch.Reset(silenceTime)
		var line streamLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return fault.New(fault.Broken, fault.Unknown, "the engine sent a line that can't be read: %v", err)
		}
		if err := g.give(message.Piece(line)); err != nil {
			return err
		}
		if line.ID == g.work.ID {
			g.offset = max(g.offset, line.Offset+line.Tokens)
		}
		if line.End && line.ID == g.work.ID {
			return nil
		}
	}
	err := scanner.Err()
	if err == nil {
		err = errors.New("no more lines")
	}
	return fault.New(fault.Broken, fault.Unknown, "the engine broke the answer off: %v", err)
}
