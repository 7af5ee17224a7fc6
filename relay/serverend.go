package relay

import (
	"fmt"
	"strings"

	"endivedeck.example/fault"
	"endivedeck.example/placement"
)

// recordServerEnd records that a server may have ended under the request: the
// connection broke after err, before any part of the answer arrived. A failure that
// the relay itself or the caller caused says nothing about the server.
func (j *job) recordServerEnd(ticket *placement.Ticket, err error) {
	e := fault.FromError(err)
	if e.Kind != fault.Broken || e.Ran != fault.MaybeRun || j.ctx.Err() != nil {
		return
	}
	j.endedServerID = ticket.Server.ID
	j.relay.metrics.countServerEnd(j.service)
}

// formatParts returns the IDs of a prompt's parts that other requests may share.
func formatParts(parts []uint64) string {
	var text strings.Builder
	for i, part := range parts {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, "%016x", part)
	}
	return text.String()
}
