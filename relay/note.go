package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/fault"
)

// note logs the decisions on the request and counts it.
func (j *job) note(err error) {
	whole := time.Since(j.start)
	status := j.out.status
	if j.out.broken {
		status = statusBroken
	}
	fields := logrus.Fields{"request": j.ask.ID, "version": j.version, "status": status, "whole": whole.Milliseconds()}
	if j.route == nil {
		j.relay.log.WithFields(fields).WithField("host", j.request.Host).WithField("path", j.request.URL.Path).Info("no route")
		return
	}
	j.relay.meters.request(j.route.Kind, status, j.first, whole)
	fields["route"] = j.route.Name
	fields["service"] = j.service
	fields["server"] = j.server
	fields["sends"] = j.sends
	fields["runs"] = j.runs
	fields["queue"] = j.choice.QueueTime.Milliseconds()
	fields["expect"] = j.choice.FirstByte.Milliseconds()
	if j.choice.Late {
		fields["late"] = true
	}
	if j.cameBack {
		fields["back"] = true
	}
	if j.choice.PrefixSource != "" {
		fields["source"] = j.choice.PrefixSource
	}
	fields["first"] = j.first.Milliseconds()
	if j.ask.PromptTokens > 0 {
		fields["tokens"] = j.ask.PromptTokens
	}
	if j.reader != "" {
		fields["reader"] = j.reader
		fields["read"] = j.read.Milliseconds()
	}
	if err != nil {
		e := fault.From(err)
		fields["kind"] = e.Kind
		fields["ran"] = e.Ran
		fields["error"] = e.Text
	}
	j.relay.log.WithFields(fields).Info("request")
}

// noteAgain logs that the request is sent once more, and why.
func (j *job) noteAgain(err error) {
	e := fault.From(err)
	j.relay.meters.again(string(e.Kind))
	j.relay.log.WithFields(logrus.Fields{
		"request": j.ask.ID, "server": j.server, "sends": j.sends, "runs": j.runs,
		"kind": e.Kind, "ran": e.Ran, "error": e.Text, "left": time.Until(j.until).Milliseconds(),
	}).Info("request is sent again")
}
