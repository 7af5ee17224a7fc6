package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/fault"
)

// logRequest logs how the request was handled and updates the metrics. err is nil
// if the request succeeded.
func (j *job) logRequest(err error) {
	total := time.Since(j.start)
	status := j.response.status
	if j.response.aborted {
		status = statusAborted
	}
	fields := logrus.Fields{
		"request": j.info.ID, "accepted": j.start.Format(time.RFC3339Nano), "version": j.routesVersion,
		"status": status, "whole": total.Milliseconds(),
	}
	if latest, _ := j.relay.routeView.Version(); latest != j.routesVersion {
		fields["latest"] = latest
	}
	if elapsed, stopping := j.relay.stopElapsed(time.Now()); stopping {
		fields["stopping"] = elapsed.Milliseconds()
	}
	if j.route == nil {
		if err != nil {
			fields["error"] = fault.FromError(err).Message
		}
		j.relay.log.WithFields(fields).WithField("host", j.request.Host).WithField("path", j.request.URL.Path).Info("request has no route")
		return
	}
	j.relay.metrics.countRequest(j.route.Kind, status, j.timeToFirstByte, total)
	if j.team != nil {
		j.relay.metrics.countReturn(j, status, total)
	}
	fields["route"] = j.route.Name
	if j.team != nil {
		fields["team"] = j.team.Name
	}
	fields["service"] = j.service
	fields["server"] = j.serverID
	fields["sends"] = j.sends
	fields["runs"] = j.executions
	fields["queue"] = j.choice.QueueTime.Milliseconds()
	fields["expect"] = j.choice.FirstByte.Milliseconds()
	if j.choice.Late {
		fields["late"] = true
	}
	if j.clientRetry {
		fields["back"] = true
		fields["waited"] = j.waited.Milliseconds()
	}
	if impliesNotRun(status) {
		fields["return"] = j.response.retryAfter.Milliseconds()
	}
	if j.choice.PrefixSource != "" {
		fields["source"] = j.choice.PrefixSource
	}
	fields["first"] = j.timeToFirstByte.Milliseconds()
	if j.longestPause > 0 {
		fields["pause"] = j.longestPause.Milliseconds()
	}
	if !j.deadline.IsZero() {
		fields["allowed"] = j.deadline.Sub(j.start).Milliseconds()
	}
	if j.info.PromptTokens > 0 {
		fields["tokens"] = j.info.PromptTokens
	}
	if j.info.MaxTokens > 0 {
		fields["limit"] = j.info.MaxTokens
	}
	if j.position.events > 0 {
		fields["answer"] = j.position.events
	}
	if len(j.parts) > 0 {
		fields["parts"] = formatParts(j.parts)
	}
	if j.endedServerID != "" {
		fields["ended"] = j.endedServerID
		fields["events"] = j.endedAfter
	}
	if j.prefillServerID != "" {
		fields["reader"] = j.prefillServerID
		fields["read"] = j.prefillTime.Milliseconds()
	}
	if err != nil {
		e := fault.FromError(err)
		fields["kind"] = e.Kind
		fields["ran"] = e.Ran
		fields["error"] = e.Message
	}
	j.relay.log.WithFields(fields).Info("request")
}

// logRetry logs and counts a retry of the request after err.
func (j *job) logRetry(err error) {
	e := fault.FromError(err)
	j.relay.metrics.countRetry(string(e.Kind))
	fields := logrus.Fields{
		"request": j.info.ID, "server": j.serverID, "sends": j.sends, "runs": j.executions,
		"kind": e.Kind, "ran": e.Ran, "error": e.Message, "left": time.Until(j.deadline).Milliseconds(),
	}
	if j.endedServerID == j.serverID {
		fields["ended"] = j.endedServerID
		fields["events"] = j.endedAfter
	}
	j.relay.log.WithFields(fields).Info("request is sent again")
}
