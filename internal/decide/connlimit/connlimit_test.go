package connlimit

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against cutting off answers, and against one client that drives out others,
// when a server is full.
func TestChoose(t *testing.T) {
	a, b := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	for name, c := range map[string]struct {
		conns []Conn
		want  int
	}{
		"none":    {nil, -1},
		"serving": {[]Conn{{Address: a, Phase: Serving}, {Address: b, Phase: Serving, Blocked: BlockedWrite - 1}}, -1},
		"longest wait": {[]Conn{
			{Address: a, Since: 3 * time.Second}, {Address: a, Since: time.Second}, {Address: a, Since: 2 * time.Second},
		}, 1},
		"unfinished longer than idle": {[]Conn{{Address: a, Since: 2}, {Address: a, Phase: Receiving, Since: 1}}, 1},
		"never a whole request":       {[]Conn{{Address: a, Phase: Serving, Since: 1}, {Address: a, Since: 2}}, 1},
		"most of one address": {[]Conn{
			{Address: b, Since: 1}, {Address: a, Since: 3}, {Address: a, Since: 2},
		}, 2},
		"requests in work do not count for their address": {[]Conn{
			{Address: a, Phase: Serving}, {Address: a, Phase: Serving}, {Address: a, Since: 2}, {Address: b, Since: 1},
		}, 3},
		"answer that is not read": {[]Conn{
			{Address: a, Phase: Serving}, {Address: a, Phase: Serving, Blocked: BlockedWrite},
		}, 1},
	} {
		var chooser Chooser
		assert.Equal(t, c.want, chooser.Choose(c.conns), name)
	}
}
