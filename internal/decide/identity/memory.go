package identity

import (
	"container/list"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// add makes an entry. It evicts what has expired and what was never started,
// and nothing else: when the table is full the id is refused.
func (t *Table) add(now time.Time, id string) (*entry, *errkind.Error) {
	t.expire(now)
	if len(t.entries) >= t.limits.MaxEntries && t.weak.Len() > 0 {
		t.remove(t.weak.Front().Value.(*entry))
	}
	if len(t.entries) >= t.limits.MaxEntries {
		return nil, errkind.New(errkind.Overloaded, "%d request ids are held, the limit", len(t.entries))
	}
	e := &entry{id: id}
	t.entries[id] = e
	return e, nil
}

// shelve starts the entry's time to expiry.
func (t *Table) shelve(now time.Time, e *entry, shelf *list.List) {
	t.unshelve(e)
	e.expires = now.Add(t.horizon)
	e.shelf = shelf
	e.place = shelf.PushBack(e)
}

// unshelve keeps the entry until it is shelved again.
func (t *Table) unshelve(e *entry) {
	if e.place != nil {
		e.shelf.Remove(e.place)
		e.place, e.shelf = nil, nil
	}
}

// expire removes entries past their horizon.
func (t *Table) expire(now time.Time) {
	for _, shelf := range []*list.List{t.kept, t.weak} {
		for front := shelf.Front(); front != nil; front = shelf.Front() {
			e := front.Value.(*entry)
			if now.Before(e.expires) {
				break
			}
			t.remove(e)
		}
	}
}

// Expire removes entries past their horizon.
func (t *Table) Expire(now time.Time) { t.expire(now) }

func (t *Table) remove(e *entry) {
	t.unshelve(e)
	t.bytes -= len(e.result.Answer.Body)
	delete(t.entries, e.id)
}

// trim gives up the oldest answers' bodies above the limit. The ids stay, so
// that their requests never run again.
func (t *Table) trim() {
	for place := t.kept.Front(); place != nil && t.bytes > t.limits.MaxAnswerBytes; place = place.Next() {
		e := place.Value.(*entry)
		if e.state != ended || len(e.result.Answer.Body) == 0 {
			continue
		}
		t.bytes -= len(e.result.Answer.Body)
		e.result.Answer.Body = nil
		e.dropped = true
	}
}
