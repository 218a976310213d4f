package ring_test

import (
	"context"
	"errors"
	"testing"

	"dotterelmount.example/lib/ring"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestRingMatchesBoundedQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		r := ring.New[int](capacity)
		var model []int
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				v := rapid.Int().Draw(t, "v")
				err := r.TryPush(v)
				if len(model) == capacity {
					var full *ring.FullError
					assert.Assert(t, errors.As(err, &full))
					return
				}
				assert.NilError(t, err)
				model = append(model, v)
			},
			"pop": func(t *rapid.T) {
				v, ok := r.TryPop()
				assert.Equal(t, ok, len(model) > 0)
				if ok {
					assert.Equal(t, v, model[0])
					model = model[1:]
				}
			},
			"": func(t *rapid.T) { assert.Equal(t, r.Len(), len(model)) },
		})
	})
}

func TestPushToFullRingFailsWithEndedContext(t *testing.T) {
	r := ring.New[int](1)
	assert.NilError(t, r.TryPush(1))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, r.Push(ctx, 2), context.Canceled)
}

func TestPopAfterCloseReturnsRemainingEntries(t *testing.T) {
	r := ring.New[int](2)
	assert.NilError(t, r.TryPush(1))
	r.Close()
	v, err := r.Pop(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, v, 1)
	_, err = r.Pop(t.Context())
	var closed *ring.ClosedError
	assert.Assert(t, errors.As(err, &closed))
}

func TestSlotKeepsFirstReply(t *testing.T) {
	s := ring.NewSlot[int]()
	assert.Assert(t, s.Put(1))
	assert.Assert(t, !s.Put(2))
	v, err := s.Wait(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, v, 1)
}
