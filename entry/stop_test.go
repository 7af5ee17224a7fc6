package entry

import (
	"strings"
	"testing"
	"time"
)

// TestRequestBegunLateInStop has requests arrive while the entry stops. One whose contract
// allows it more time than the entry has left was begun, and cut at the end without a
// response, orders too.
func TestRequestBegunLateInStop(t *testing.T) {
	const refused = "unavailable, ran"
	withTestEnv(t, func(env *testEnv) {
		for i, c := range []struct {
			left time.Duration // until running requests are cut
			want bool          // the request is begun
		}{
			{time.Hour, true},
			{requestTimeout + stopMargin + time.Minute, true},
			{requestTimeout, false},
			{requestTimeout / 2, false},
			{-time.Second, false},
		} {
			env.entry.executor.startDraining(time.Now().Add(c.left))
			order := env.sendOrder(strings.Repeat("k", i+1))
			if got := order == "done"; got != c.want || !c.want && !strings.Contains(order, refused) {
				t.Errorf("%v left: got the order %s, want it begun %v", c.left, order, c.want)
			}
			query := env.sendQuery()
			if got := strings.HasPrefix(query, "complete: "); got != c.want || !c.want && !strings.Contains(query, refused+" no") {
				t.Errorf("%v left: got the query %s, want it begun %v", c.left, query, c.want)
			}
		}
	})
}
