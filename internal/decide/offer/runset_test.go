package offer

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a failed run that is counted twice, and against a change of a set that
// another task or message shares.
func TestRunSet(t *testing.T) {
	var none RunSet
	one := none.With(101)
	both := one.With(3, 101, 3)
	assert.Equal(t, RunSet{3, 101}, both)
	assert.Equal(t, RunSet{101}, one)
	assert.Empty(t, none)
	assert.Equal(t, both, both.With(both...))
	assert.True(t, both.Contains(3))
	assert.False(t, both.Contains(4))
	assert.False(t, none.Contains(0))
}
