package dispatch

import "github.com/parsleyhill/parsleyhill/internal/errkind"

// Withdraw takes a request out that waits for a slot and returns what is known
// of it. It returns false, and changes nothing, for one that was sent.
func (c *Core) Withdraw(id string) (errkind.RunState, bool) {
	w, ok := c.requests[id]
	if !ok || w.backend != "" {
		return "", false
	}
	c.Cancel(id)
	return errkind.NotRun, true
}
