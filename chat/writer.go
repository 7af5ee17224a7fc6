package chat

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"endivedeck.example/entry"
	"endivedeck.example/fault"
)

// writeTime bounds how long a slow caller may hold one piece up.
const writeTime = 30 * time.Second

var _ entry.Reader = (*writer)(nil)

// writer gives an answer to its caller, as a stream of events or whole.
type writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	model   string
	isChat  bool
	stream  bool
	created int64

	begun bool
	text  strings.Builder // of an answer that isn't streamed
}

// Take implements entry.Reader.
func (w *writer) Take(text string, _ int) error {
	if !w.stream {
		w.text.WriteString(text)
		return nil
	}
	d := &delta{Content: text}
	if !w.begun {
		d.Role = "assistant"
		w.w.Header().Set("Content-Type", "text/event-stream")
		w.w.Header().Set("Cache-Control", "no-store")
		w.begun = true
	}
	return w.event(w.part(d, text, nil, nil))
}

// finish ends the answer. An error after the first piece is sent as an event
// of its own and the stream's end mark is left out: the caller can tell a
// whole answer from one that broke off.
func (w *writer) finish(used entry.Usage, err error) {
	switch {
	case err != nil && !w.begun:
		entry.WriteError(w.w, err)
	case err != nil:
		_ = w.event(entry.ErrorBody(err))
	case w.stream:
		reason := used.Reason
		_ = w.event(w.part(&delta{}, "", &reason, counted(used)))
		_, _ = w.w.Write([]byte(streamEnd))
	default:
		w.whole(used)
	}
}

func (w *writer) whole(used entry.Usage) {
	text := w.text.String()
	reason := used.Reason
	c := choice{Finish: &reason}
	name := "text_completion"
	if w.isChat {
		name = "chat.completion"
		c.Message = &talk{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	w.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w.w).Encode(object{
		ID:      w.id,
		Object:  name,
		Created: w.created,
		Model:   w.model,
		Choices: []choice{c},
		Usage:   counted(used),
	})
}

func (w *writer) part(d *delta, text string, reason *string, u *usage) object {
	c := choice{Finish: reason}
	name := "text_completion"
	if w.isChat {
		name = "chat.completion.chunk"
		c.Delta = d
	} else {
		c.Text = &text
	}
	return object{ID: w.id, Object: name, Created: w.created, Model: w.model, Choices: []choice{c}, Usage: u}
}

func (w *writer) event(value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fault.New(fault.Internal, fault.Unknown, "%v", err)
	}
	_ = w.control.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := w.w.Write([]byte("data: " + string(text) + "\n\n")); err != nil {
		return err
	}
	return w.control.Flush()
}

func counted(used entry.Usage) *usage {
	return &usage{Prompt: used.Prompt, Completion: used.Answer, Total: used.Prompt + used.Answer}
}
