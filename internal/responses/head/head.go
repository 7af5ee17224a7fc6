// Package head checks the heads of HTTP/1.1 responses for errors that net/http accepts.
//
// Source: RFC 9110, sections 5.1 (field names) and 15 (status codes), and RFC 9112,
// section 5 (field syntax).
package head

import (
	"bytes"
	"fmt"
	"strings"
)

// Status codes that a response may have.
const (
	minStatus = 100
	maxStatus = 599
)

// tokenSymbols may be in a field name, beside letters and digits.
const tokenSymbols = "!#$%&'*+-.^_`|~"

// Parts of a head.
const (
	atStatusLine  part = iota
	atLineStart        // of a field line, or of the empty line
	atLineFeed         // of the empty line, after its carriage return
	inFieldName        // after its first byte
	inFieldValue       // or in the white space around it
	afterLastHead      // in the body
)

type (
	// Checker checks the field names of a response while its bytes arrive. It goes on
	// with the next head after that of an interim response. The zero value expects the
	// beginning of a head.
	Checker struct {
		part       part
		statusLine []byte // what has arrived of it
	}

	part int
)

// CheckStatus returns an error if no response may have the status code. net/http accepts
// any three digits.
func CheckStatus(code int) error {
	if code < minStatus || code > maxStatus {
		return fmt.Errorf("invalid status code %03d, want %d to %d", code, minStatus, maxStatus)
	}
	return nil
}

// Done reports whether the head of the final response has ended.
func (c *Checker) Done() bool { return c.part == afterLastHead }

// Feed checks the next bytes of a response, and nothing of its body. After an error, the
// response is invalid.
func (c *Checker) Feed(p []byte) error {
	for len(p) > 0 && !c.Done() {
		switch c.part {
		case atStatusLine, inFieldValue:
			p = c.feedToLineEnd(p)
		default:
			if err := c.feedByte(p[0]); err != nil {
				return err
			}
			p = p[1:]
		}
	}
	return nil
}

// feedToLineEnd skips the rest of a status line or field value, and returns what follows.
func (c *Checker) feedToLineEnd(p []byte) []byte {
	line, rest, ended := bytes.Cut(p, []byte("\n"))
	if c.part == atStatusLine {
		c.statusLine = append(c.statusLine, line...)
	}
	if ended {
		c.part = atLineStart
	}
	return rest
}

func (c *Checker) feedByte(b byte) error {
	switch {
	case b == '\n' && (c.part == atLineStart || c.part == atLineFeed):
		c.endHead()
	case b == '\r' && c.part == atLineStart:
		c.part = atLineFeed
	case b == ':' && c.part == inFieldName:
		c.part = inFieldValue
	case isTokenByte(b) && c.part != atLineFeed:
		c.part = inFieldName
	default: // also a blank at the beginning of a line, which net/http joins to the line before
		return fmt.Errorf("invalid byte 0x%02x in a field name of the response", b)
	}
	return nil
}

// endHead begins with another head if that of an interim response has ended.
func (c *Checker) endHead() {
	c.part = afterLastHead
	if isInterim(string(c.statusLine)) {
		*c = Checker{}
	}
}

// isInterim reports whether another response follows the one with this status line. None
// follows 101, after which the connection has another protocol.
func isInterim(statusLine string) bool {
	_, status, _ := strings.Cut(statusLine, " ")
	status = strings.TrimLeft(status, " ")
	return strings.HasPrefix(status, "1") && !strings.HasPrefix(status, "101")
}

func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return strings.IndexByte(tokenSymbols, b) >= 0
}
