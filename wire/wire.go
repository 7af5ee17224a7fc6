// Package wire implements remote procedure calls between the processes of the
// system.
//
// Each call uses one stream of a connection. The client sends a request frame
// and reads reply frames until the stream ends. A frame is a 32-bit big-endian
// length followed by a CBOR value.
//
// Calls to the same address share a connection. Both ends of a connection send
// keep-alives and close it if they receive nothing for KeepAliveTimeout, so that
// they detect a lost path. A client that suspects one earlier can move new calls
// to another connection with Client.RetireConn.
//
// Connections come from a Transport, which is a plug-in: package quicline
// implements it over QUIC, package memory over pipes for tests.
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
	// MaxFrameBytes is the largest encoded value of a frame, in bytes.
	MaxFrameBytes = 64 << 20

	// KeepAliveInterval is the interval of keep-alives on an idle connection.
	KeepAliveInterval = 900 * time.Millisecond

	// KeepAliveTimeout is the time without anything received, not even a
	// keep-alive, after which an end closes a connection.
	KeepAliveTimeout = 2500 * time.Millisecond

	requestReadTimeout = 5 * time.Second // for the first frame of a call
	readChunkBytes     = 64 << 10
)

// Transports holds the registered transports by name.
var Transports = kernel.NewRegistry[TransportFactory]("transport")

var (
	decMode = newDecMode()
	encMode = newEncMode()
)

type (
	// Transport connects processes.
	Transport interface {
		// Listen returns a listener that accepts connections on address until
		// it is closed.
		Listen(address string) (Listener, error)

		// Dial connects to address. It fails when ctx is done first.
		Dial(ctx context.Context, address string) (Conn, error)
	}

	// TransportFactory creates a transport from the settings of a process.
	TransportFactory func(*kernel.Host) (Transport, error)

	// Listener accepts connections.
	Listener interface {
		Accept(ctx context.Context) (Conn, error)
		Address() string
		Close() error
	}

	// Conn is a connection that multiplexes streams. If the path between its
	// ends is lost, each end closes it within KeepAliveTimeout.
	Conn interface {
		Open(ctx context.Context) (Stream, error)   // opens a stream to the peer
		Accept(ctx context.Context) (Stream, error) // accepts a stream that the peer opened
		Done() <-chan struct{}                      // closed when the connection ends
		Peer() string                               // the name in the peer's certificate, or its address
		Close() error
	}

	// Stream is a bidirectional stream of a connection. Close ends the sending
	// direction. Cancel aborts both directions at once; the peer gets an error.
	Stream interface {
		io.Reader
		io.Writer
		Close() error
		Cancel()
		SetDeadline(time.Time) error
	}

	requestFrame struct {
		Method string          `cbor:"1,keyasint"`
		Body   cbor.RawMessage `cbor:"2,keyasint"`
	}

	replyFrame struct {
		Error *fault.Error    `cbor:"1,keyasint,omitempty"`
		Body  cbor.RawMessage `cbor:"2,keyasint,omitempty"`
	}
)

// NewTransport creates the registered transport with the given name from the
// settings of a process.
func NewTransport(host *kernel.Host, name string) (Transport, error) {
	factory, err := Transports.Lookup(name)
	if err != nil {
		return nil, err
	}
	return factory(host)
}

// Encode encodes a message as CBOR.
func Encode(value any) ([]byte, error) {
	body, err := encMode.Marshal(value)
	if err != nil {
		return nil, fault.New(fault.Internal, fault.NotRun, "encoding a message: %v (type %T)", err, value)
	}
	return body, nil
}

// Decode decodes a CBOR message into value. Invalid input is fault.Malformed.
func Decode(body []byte, value any) error {
	if err := decMode.Unmarshal(body, value); err != nil {
		return fault.New(fault.Malformed, fault.NotRun, "decoding a message: %v (%d bytes)", err, len(body))
	}
	return nil
}

// WriteFrame encodes value and writes it as one frame.
func WriteFrame(w io.Writer, value any) error {
	body, err := Encode(value)
	if err != nil {
		return err
	}
	if len(body) > MaxFrameBytes {
		return fault.New(fault.TooLarge, fault.NotRun, "message too large: %d bytes, limit %d", len(body), MaxFrameBytes)
	}
	frame := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame = append(frame, body...)
	_, err = w.Write(frame)
	return err
}

// ReadFrame reads one frame and decodes it into value. It returns io.EOF if
// the stream ends before the first byte of the frame.
func ReadFrame(r io.Reader, value any) error { return readFrame(r, value, noCharge) }

// readFrame is ReadFrame that calls charge before it allocates a number of bytes. It fails
// if charge returns false.
func readFrame(r io.Reader, value any, charge func(n int) bool) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > MaxFrameBytes {
		return fault.New(fault.TooLarge, fault.NotRun, "frame too large: %d bytes, limit %d", size, MaxFrameBytes)
	}
	body, err := readBody(r, size, charge)
	if err != nil {
		return err
	}
	return Decode(body, value)
}

func noCharge(int) bool { return true }

// readBody reads size bytes. Its buffer grows with what arrives, so that a peer can't make
// it allocate up to MaxFrameBytes by sending only a length.
func readBody(r io.Reader, size int, charge func(n int) bool) ([]byte, error) {
	var body []byte
	for len(body) < size {
		if len(body) == cap(body) {
			next := min(size, max(2*cap(body), readChunkBytes))
			if !charge(next - cap(body)) {
				return nil, fault.New(fault.Overloaded, fault.NotRun, "no room for a frame of %d bytes", size)
			}
			body = append(make([]byte, 0, next), body...)
		}
		start := len(body)
		n := min(cap(body)-start, readChunkBytes)
		body = body[:start+n]
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return body, nil
}

// newEncMode returns the encoding options. Times are encoded with nanoseconds;
// the default of the library truncates them to seconds.
func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newDecMode returns the decoding options. Text that isn't UTF-8, which comes from
// headers and URLs, must not make a peer lose the whole message.
func newDecMode() cbor.DecMode {
	options := cbor.DecOptions{
		UTF8:             cbor.UTF8DecodeInvalid,
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
