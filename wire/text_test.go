package wire_test

import (
	"testing"

	"endivedeck.example/message"
	"endivedeck.example/order"
	"endivedeck.example/roster"
	"endivedeck.example/wire"
)

// TestInvalidTextLosesNoMessage decodes messages with a text that isn't UTF-8, as in the
// Content-Type of a service's response. The rest of the message must not be lost.
func TestInvalidTextLosesNoMessage(t *testing.T) {
	const latin1 = "text/plain; charset=\xe9"
	sent := message.ServiceResponse{ID: "r1", Response: order.Response{Status: 200, ContentType: latin1, Body: []byte("done")}}
	var got message.ServiceResponse
	recode(t, sent, &got)
	if got.ID != "r1" || got.Response.ContentType != latin1 || string(got.Response.Body) != "done" {
		t.Errorf("got response %+v, want %+v", got, sent)
	}
	var update message.RelayUpdate
	recode(t, message.RelayUpdate{Servers: []roster.Observation{{Server: roster.Server{ID: "a"}}, {Server: roster.Server{ID: "\xff"}}}}, &update)
	if len(update.Servers) != 2 || update.Servers[0].Server.ID != "a" {
		t.Errorf("got servers %+v, want a among two", update.Servers)
	}
}

// recode encodes a message and decodes it into out.
func recode(t *testing.T, in, out any) {
	t.Helper()
	body, err := wire.Encode(in)
	if err != nil {
		t.Fatal(err)
	}
	if err := wire.Decode(body, out); err != nil {
		t.Error(err)
	}
}
