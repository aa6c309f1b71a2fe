package identity

import (
	"container/list"
	"time"

	"github.com/parsleyhill/parsleyhill/internal/errkind"
)

// addEntry creates the entry of an id. To make space it evicts only expired
// entries and the oldest refused request that never started. If the table is
// still full, the id is refused.
func (t *Table) addEntry(now time.Time, id string) (*entry, *errkind.Error) {
	t.expire(now)
	if len(t.entries) >= t.limits.MaxEntries && t.evictable.Len() > 0 {
		t.remove(t.evictable.Front().Value.(*entry))
	}
	if len(t.entries) >= t.limits.MaxEntries {
		return nil, errkind.New(errkind.Overloaded, "%d request ids are held, the limit", len(t.entries))
	}
	e := &entry{id: id}
	t.entries[id] = e
	return e, nil
}

// scheduleExpiry lets the entry expire one horizon from now and appends it to
// the expiry list.
func (t *Table) scheduleExpiry(now time.Time, e *entry, expiryList *list.List) {
	t.cancelExpiry(e)
	e.expires = now.Add(t.horizon)
	e.expiryList = expiryList
	e.expiryElement = expiryList.PushBack(e)
}

// cancelExpiry keeps the entry until its expiry is scheduled again.
func (t *Table) cancelExpiry(e *entry) {
	if e.expiryElement != nil {
		e.expiryList.Remove(e.expiryElement)
		e.expiryElement, e.expiryList = nil, nil
	}
}

func (t *Table) expire(now time.Time) {
	for _, expiryList := range []*list.List{t.retained, t.evictable} {
		for front := expiryList.Front(); front != nil; front = expiryList.Front() {
			e := front.Value.(*entry)
			if now.Before(e.expires) {
				break
			}
			t.remove(e)
		}
	}
}

// Expire removes the entries whose horizon has passed.
func (t *Table) Expire(now time.Time) { t.expire(now) }

func (t *Table) remove(e *entry) {
	t.cancelExpiry(e)
	t.answerBytes -= len(e.result.Answer.Body)
	delete(t.entries, e.id)
}

// evictBodies deletes the bodies of the oldest answers until the rest fits
// MaxAnswerBytes. The ids are kept, so that their requests never run again.
func (t *Table) evictBodies() {
	for element := t.retained.Front(); element != nil && t.answerBytes > t.limits.MaxAnswerBytes; element = element.Next() {
		e := element.Value.(*entry)
		if e.state != ended || len(e.result.Answer.Body) == 0 {
			continue
		}
		t.answerBytes -= len(e.result.Answer.Body)
		e.result.Answer.Body = nil
		e.bodyEvicted = true
	}
}
