// Package wire carries messages between the system's own processes.
//
// A call opens one stream on a connection to the other process, sends one
// request frame and reads reply frames until the stream ends. A frame is a
// length and a CBOR value. Connections are kept and shared; each has its own
// heartbeat and a bound on silence, so that a path that has gone silent is
// given up within Silence while a new connection is dialled beside it.
//
// How bytes travel is a Transport, a plug-in: package quicline brings QUIC
// with mutual TLS, package memory brings pipes for tests.
package wire

import (
	"context"
	"encoding/binary"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"

	"endivedeck.example/fault"
	"endivedeck.example/kernel"
)

const (
	// MaxFrame is the largest frame in bytes.
	MaxFrame = 64 << 20

	// Heartbeat is the time between signs of life on an idle connection.
	Heartbeat = 900 * time.Millisecond

	// Silence is the time without any sign of life after which a connection
	// is given up.
	Silence = 2500 * time.Millisecond

	firstFrameTime = 5 * time.Second
	growBytes      = 64 << 10
)

// Transports is the slot of transports.
var Transports = kernel.NewSlot[TransportMaker]("transport")

var (
	decoding = newDecoding()
	encoding = newEncoding()
)

type (
	// Transport opens connections between processes.
	Transport interface {
		// Listen accepts connections on address until the listener closes.
		Listen(address string) (Listener, error)

		// Dial connects to address within ctx.
		Dial(ctx context.Context, address string) (Conn, error)
	}

	// TransportMaker builds a transport from the settings of a process.
	TransportMaker func(*kernel.Host) (Transport, error)

	// Listener accepts connections.
	Listener interface {
		Accept(ctx context.Context) (Conn, error)
		Address() string
		Close() error
	}

	// Conn is a connection that carries many streams. Both ends find out
	// within Silence when the path between them is lost.
	Conn interface {
		Open(ctx context.Context) (Stream, error)
		Accept(ctx context.Context) (Stream, error)
		Done() <-chan struct{}
		Peer() string // the other end's proven name, or its address
		Close() error
	}

	// Stream is one stream of a connection. Close ends the sending side;
	// Cancel gives both sides up at once, and the other end sees an error.
	Stream interface {
		io.Reader
		io.Writer
		Close() error
		Cancel()
		SetDeadline(time.Time) error
	}

	request struct {
		Method string          `cbor:"1,keyasint"`
		Body   cbor.RawMessage `cbor:"2,keyasint"`
	}

	reply struct {
		Error *fault.Error    `cbor:"1,keyasint,omitempty"`
		Body  cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	}
)

// Build builds the transport of the given name from the settings of a process.
func Build(host *kernel.Host, name string) (Transport, error) {
	maker, err := Transports.Find(name)
	if err != nil {
		return nil, err
	}
	return maker(host)
}

// Encode encodes a message.
func Encode(value any) ([]byte, error) {
	body, err := encoding.Marshal(value)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.No, "encoding a message: %v", err)
	}
	return body, nil
}

// Decode decodes a message. Damaged input is fault.Malformed.
func Decode(body []byte, value any) error {
	if err := decoding.Unmarshal(body, value); err != nil {
		return fault.New(fault.Malformed, fault.No, "decoding a message: %v", err)
	}
	return nil
}

// WriteFrame writes one frame that holds the encoded value.
func WriteFrame(w io.Writer, value any) error {
	body, err := Encode(value)
	if err != nil {
		return err
	}
	if len(body) > MaxFrame {
		return fault.New(fault.TooLarge, fault.No, "a message of %d bytes is over the limit of %d", len(body), MaxFrame)
	}
	frame := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	_, err = w.Write(frame)
	return err
}

// ReadFrame reads one frame into value. It returns io.EOF when the stream
// ended before the frame began.
func ReadFrame(r io.Reader, value any) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size > MaxFrame {
		return fault.New(fault.TooLarge, fault.No, "a frame of %d bytes is over the limit of %d", size, MaxFrame)
	}
	body, err := readBody(r, size)
	if err != nil {
		return err
	}
	return Decode(body, value)
}

// readBody grows with what arrives, so that a length alone reserves nothing.
func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, min(size, growBytes))
	for len(body) < size {
		n := min(size-len(body), growBytes)
		start := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return body, nil
}

// newEncoding keeps times whole; the library's own way cuts them to seconds.
func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoding() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 20,
		MaxNestedLevels:  32,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
