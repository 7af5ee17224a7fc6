package chat

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"endivedeck.example/entry"
	"endivedeck.example/fault"
)

// writeTimeout limits the time to write one event to a slow caller.
const writeTimeout = 30 * time.Second

var _ entry.TokenWriter = (*responseWriter)(nil)

// responseWriter writes a response to its caller, as a stream of server-sent
// events or as one JSON object.
type responseWriter struct {
	dst        http.ResponseWriter
	controller *http.ResponseController
	id         string
	model      string
	isChat     bool
	stream     bool
	created    int64

	started  bool
	buffered strings.Builder // text of a response that is not streamed
}

// WriteTokens implements entry.TokenWriter.
func (w *responseWriter) WriteTokens(text string, _ int) error {
	if !w.stream {
		w.buffered.WriteString(text)
		return nil
	}
	d := &delta{Content: text}
	if !w.started {
		d.Role = "assistant"
		w.startStream()
	}
	return w.writeEvent(w.chunk(d, text, nil, nil))
}

// startStream sets the headers of a stream of events.
func (w *responseWriter) startStream() {
	w.dst.Header().Set("Content-Type", "text/event-stream")
	w.dst.Header().Set("Cache-Control", "no-store")
	w.started = true
}

// finish ends the response. An error after the first event is sent as another
// event, without the terminator of the stream, so that the caller can tell a
// truncated response from a complete one.
func (w *responseWriter) finish(used entry.Usage, err error) {
	switch {
	case err != nil && !w.started:
		entry.WriteError(w.dst, err)
	case err != nil:
		_ = w.writeEvent(entry.NewErrorResponse(err))
	case w.stream:
		if !w.started {
			w.startStream()
		}
		reason := used.FinishReason
		_ = w.writeEvent(w.chunk(&delta{}, "", &reason, newUsage(used)))
		_, _ = w.dst.Write([]byte(streamTerminator))
	default:
		w.writeCompletion(used)
	}
}

func (w *responseWriter) writeCompletion(used entry.Usage) {
	text := w.buffered.String()
	reason := used.FinishReason
	c := choice{FinishReason: &reason}
	kind := "text_completion"
	if w.isChat {
		kind = "chat.completion"
		c.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	w.dst.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w.dst).Encode(completion{
		ID:      w.id,
		Object:  kind,
		Created: w.created,
		Model:   w.model,
		Choices: []choice{c},
		Usage:   newUsage(used),
	})
}

func (w *responseWriter) chunk(d *delta, text string, reason *string, u *usage) completion {
	c := choice{FinishReason: reason}
	kind := "text_completion"
	if w.isChat {
		kind = "chat.completion.chunk"
		c.Delta = d
	} else {
		c.Text = &text
	}
	return completion{ID: w.id, Object: kind, Created: w.created, Model: w.model, Choices: []choice{c}, Usage: u}
}

func (w *responseWriter) writeEvent(value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fault.New(fault.Internal, fault.MaybeRun, "encoding an event: %v", err)
	}
	_ = w.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.dst.Write([]byte("data: " + string(text) + "\n\n")); err != nil {
		return err
	}
	return w.controller.Flush()
}

func newUsage(used entry.Usage) *usage {
	return &usage{PromptTokens: used.PromptTokens, CompletionTokens: used.AnswerTokens, TotalTokens: used.PromptTokens + used.AnswerTokens}
}
