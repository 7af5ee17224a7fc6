// Package spread decides when a source sends a large version of something to one of many
// receivers that all sources serve.
//
// The load that it answers: a routing table of some hundred KB, a dozen control instances
// that have it at the same moment, and relays on thin links. If each instance sends it to
// each relay, a relay's link carries it a dozen times, and what comes first is as late as
// what comes last. So the sources take turns: each receiver has an order of them, the next
// one sends only after a step without word that the receiver has the version.
//
// The package performs no I/O, and callers pass in the current time.
package spread

import "time"

const (
	// SmallBytes is the size up to which all sources send at once, since that takes a
	// thin link less time than a turn.
	SmallBytes = 32 << 10

	// step is how long each source waits for the one before it.
	step = 400 * time.Millisecond

	// maxPlace is the place from which on sources wait no longer.
	maxPlace = 3
)

type (
	// Delivery is what one source knows of one receiver. The zero value has sent nothing.
	Delivery struct {
		Held Holding // what the receiver is known to have
		Sent Holding // what was sent to it

		missingSince time.Time // since when a newer version than these has been known; zero if none is
	}

	// Holding is the newest version of something that a process has. The zero value has
	// none, not even version 0.
	Holding struct {
		Version uint64
		Known   bool
	}
)

// Lacks reports whether a version is newer than what the process has.
func (h Holding) Lacks(version uint64) bool { return !h.Known || h.Version < version }

// Due reports whether a version of the given size is to be sent now, which it records. place
// is that of the source in the receiver's order, from 0. If the version is to be sent later,
// wait is the time until then.
func (d *Delivery) Due(now time.Time, version uint64, bytes, place int) (send bool, wait time.Duration) {
	if !d.Held.Lacks(version) || !d.Sent.Lacks(version) {
		d.missingSince = time.Time{}
		return false, 0
	}
	if d.missingSince.IsZero() {
		d.missingSince = now
	}
	if bytes > SmallBytes {
		wait = d.missingSince.Add(time.Duration(min(place, maxPlace)) * step).Sub(now)
	}
	if wait > 0 {
		return false, wait
	}
	d.Sent = Holding{Version: version, Known: true}
	d.missingSince = time.Time{}
	return true, 0
}
