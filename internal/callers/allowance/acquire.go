package allowance

import "time"

const (
	patience = 500 * time.Millisecond // for others to give way
	retry    = 50 * time.Millisecond  // after which more callers may lag
)

// Acquire asks for n more bytes and waits for a moment until others have given way. It
// reports whether the account got them.
func (a *Account) Acquire(n int64) bool {
	if n <= 0 {
		return true
	}
	answer := a.Grow(time.Now(), n)
	if answer.Granted {
		return true
	}
	for deadline := time.Now().Add(patience); answer.Released != nil; {
		for _, holder := range answer.GiveWay {
			holder.GiveWay()
		}
		wait := time.NewTimer(retry)
		select {
		case <-answer.Released:
		case <-wait.C:
		}
		wait.Stop()
		now := time.Now()
		answer = a.Grow(now, n)
		if answer.Granted {
			return true
		}
		if now.After(deadline) {
			for _, holder := range answer.GiveWay {
				holder.GiveWay()
			}
			break
		}
	}
	if w := a.budget.watcher; w != nil {
		w.Refused(a.address, answer.Limit, false)
	}
	return false
}
