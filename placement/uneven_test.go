package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/roster"
)

// unevenLoad is the load that TestUneven replays: prompts at a steady rate on engines that
// prefill one after the other, and chats beside them.
type unevenLoad struct {
	name   string
	relays int
	speeds []float64 // of the engines, relative to the usual speed
	share  float64   // of time in stretches in which an engine is 2.5 times slower
	rate   float64   // prompts per second
}

// unevenEngine is an engine of the replay.
type unevenEngine struct {
	speed  float64
	slow   bool      // in a slow stretch
	freeAt time.Time // when it has prefilled what was placed on it
	done   []*Ticket
	doneAt []time.Time
	sentAt []time.Time
}

// TestUneven replays uneven engines, a quarter of them at 0.55 and the others at 1.2 of the
// usual speed, with and without slow stretches, against engines that are alike. The table
// has the share of prompts whose answer begins within 200 ms and the share of the chats on
// slow engines, after four seconds in which the speeds are learned.
func TestUneven(t *testing.T) {
	even := slices.Repeat([]float64{1}, 24)
	uneven := slices.Repeat([]float64{0.55, 1.2, 1.2, 1.2}, 6)
	var text strings.Builder
	for _, load := range []unevenLoad{
		{"alike, one relay", 1, even, 0, 600},
		{"alike, 8 relays", 8, even, 0, 600},
		{"a third of them faster, 8 relays", 8, slices.Repeat([]float64{1, 1, 1.3}, 8), 0, 600},
		{"uneven, one relay", 1, uneven, 0, 600},
		{"uneven, 8 relays", 8, uneven, 0, 600},
		{"uneven with stretches, one relay", 1, uneven, 0.15, 550},
		{"uneven with stretches, 8 relays", 8, uneven, 0.15, 550},
	} {
		inAim, prompts, slowChats, chats, unevenShare := load.replay()
		fmt.Fprintf(&text, "%-36s %3.0f%% of prompts in aim, %3.0f%% of chats on slow engines, counts as uneven %3.0f%% of the time\n",
			load.name, 100*float64(inAim)/float64(prompts), 100*float64(slowChats)/float64(chats), 100*unevenShare)
	}
	golden.Check(t, "uneven.golden", text.String())
}

func (l unevenLoad) replay() (inAim, prompts, slowChats, chats int, unevenShare float64) {
	const (
		aim      = 200 * time.Millisecond
		step     = time.Millisecond
		stretch  = 600 * time.Millisecond
		learning = 4 * time.Second
		length   = 7 * time.Second
		tokens   = 9200
		chatTime = 2 * time.Second
		report   = 62 * time.Millisecond // between two load messages of a relay
	)
	random := rand.New(rand.NewPCG(3, 4))
	start := time.Unix(1_800_000_000, 0)
	tables := make([]*Table, l.relays)
	inserted := make([]uint64, l.relays)
	sent := make([]map[string]Load, l.relays)
	engines := make([]unevenEngine, len(l.speeds))
	var servers []roster.Server
	for i, speed := range l.speeds {
		engines[i].speed, engines[i].freeAt = speed, start
		servers = append(servers, roster.Server{ID: fmt.Sprint(i), Service: "s", Address: fmt.Sprint(i), Slots: 16})
	}
	for i := range tables {
		tables[i] = New()
		tables[i].LearnSpeeds()
		tables[i].SetServers(servers)
		sent[i] = map[string]Load{}
	}
	var running []*Ticket
	var runningEnd []time.Time
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		if at > learning && tables[0].uneven(now, "s") {
			unevenShare += float64(step) / float64(length-learning)
		}
		if at%stretch == 0 {
			for i := range engines {
				engines[i].slow = random.Float64() < l.share
			}
		}
		for len(running) > 0 && !runningEnd[0].After(now) {
			running[0].End(now, Outcome{Result: Succeeded, FirstByte: step})
			running, runningEnd = running[1:], runningEnd[1:]
		}
		for i := range engines {
			e := &engines[i]
			for len(e.done) > 0 && !e.doneAt[0].After(now) {
				took := now.Sub(e.sentAt[0])
				e.done[0].ResponseBegun(now, took)
				e.done[0].End(now, Outcome{Result: Succeeded, FirstByte: took})
				if e.sentAt[0].After(start.Add(learning)) && took <= aim {
					inAim++
				}
				e.done, e.doneAt, e.sentAt = e.done[1:], e.doneAt[1:], e.sentAt[1:]
			}
		}
		for i, table := range tables {
			if (at+time.Duration(i)*4*step)%report != 0 {
				continue
			}
			var inserts []CacheInsert
			inserts, inserted[i] = table.CacheInserts(inserted[i])
			changes := LoadChanges(sent[i], table.Loads(now))
			for j, other := range tables {
				if j != i {
					other.ChangePeer(now, fmt.Sprint(i), changes, inserts)
				}
			}
		}
		if at%(40*step) == 0 {
			for _, chat := range running {
				gap := float64(46*step) / speedOf(l.speeds, chat)
				if engines[engineOf(chat)].slow {
					gap *= 2.5
				}
				chat.EventGap(now, time.Duration(gap))
			}
		}
		if at%(50*step) == 0 {
			table := tables[random.IntN(len(tables))]
			req := Request{Service: "s", Prompt: []Part{{1, 200}}, PromptTokens: 200, MaxTokens: 72, ObjectiveLeft: aim, TimeLeft: 15 * time.Second}
			if c, err := table.Choose(now, req); err == nil {
				c.Runner.ResponseBegun(now, step)
				running, runningEnd = append(running, c.Runner), append(runningEnd, now.Add(chatTime))
				if at > learning {
					chats++
					slowChats += boolCount(speedOf(l.speeds, c.Runner) < 1)
				}
			}
		}
		if random.Float64() >= l.rate*step.Seconds() {
			continue
		}
		if at > learning {
			prompts++
		}
		req := Request{Service: "s", Prompt: []Part{{random.Uint64(), tokens}}, PromptTokens: tokens, MaxTokens: 2, Class: "c", ObjectiveLeft: aim, TimeLeft: 2 * time.Second}
		c, err := tables[random.IntN(len(tables))].Choose(now, req)
		if err != nil {
			continue
		}
		e := &engines[engineOf(c.Runner)]
		took := float64(nominalPrefillTime(roster.Colocated, tokens, tokens)) / e.speed
		if e.slow {
			took *= 2.5
		}
		if e.freeAt.Before(now) {
			e.freeAt = now
		}
		e.freeAt = e.freeAt.Add(time.Duration(took))
		e.done, e.doneAt, e.sentAt = append(e.done, c.Runner), append(e.doneAt, e.freeAt), append(e.sentAt, now)
	}
	return inAim, prompts, slowChats, chats, unevenShare
}

func boolCount(b bool) int {
	if b {
		return 1
	}
	return 0
}

// engineOf returns the index of a ticket's engine, which is its ID.
func engineOf(ticket *Ticket) int {
	i, err := strconv.Atoi(ticket.Server.ID)
	if err != nil {
		panic(err)
	}
	return i
}

func speedOf(speeds []float64, ticket *Ticket) float64 { return speeds[engineOf(ticket)] }
