package reserver

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"slices"
	"testing"
	"time"
)

// takeCase is one entry of testdata/takes.json: reservations, oldest first, and what becomes of them
// once a new body needs memory, or the oldest one.
type takeCase struct {
	Name  string `json:"name"`
	Limit int64  `json:"limit"`
	Held  []struct {
		Sender    string `json:"sender"`
		Size      int64  `json:"size"`
		IsStalled bool   `json:"is_stalled"`
		IsWaiting bool   `json:"is_waiting"`
	} `json:"held"`
	OldestNeeds bool   `json:"oldest_needs"`
	Need        int64  `json:"need"`
	Outcome     string `json:"outcome"`
	// GivesWay are the indices of the reservations that give way.
	GivesWay []int `json:"gives_way"`
}

// TestBodiesGiveWayInOrder guards against requests that find no memory since others hold it that
// have stalled or have more than their share, and against large ones that never come to their end.
func TestBodiesGiveWayInOrder(t *testing.T) {
	b, err := os.ReadFile("testdata/takes.json")
	if err != nil {
		t.Fatal(err)
	}
	list := []takeCase{}
	if err := json.Unmarshal(b, &list); err != nil {
		t.Fatal(err)
	}
	for _, x := range list {
		t.Run(x.Name, func(t *testing.T) { x.check(t) })
	}
}

func (x *takeCase) check(t *testing.T) {
	r := &Reserver{Limit: func() int64 { return x.Limit }}
	held := []*Reservation{}
	for _, y := range x.Held {
		h := r.Reserve(y.Sender, func() {})
		r.add(h, y.Size)
		h.isWaiting = y.IsWaiting
		if y.IsStalled {
			h.progressAt = time.Now().Add(-stallTime)
		}
		held = append(held, h)
	}
	taker := r.Reserve("new", func() {})
	if x.OldestNeeds {
		taker = held[0]
	}
	changed, err := r.take(taker, x.Need)
	outcome := "taken"
	switch {
	case errors.Is(err, ErrFull):
		outcome = "full"
	case err != nil:
		t.Fatal(err)
	case changed != nil:
		outcome = "waits"
	}
	gaveWay := []int{}
	for i, h := range held {
		if h.isRevoked {
			gaveWay = append(gaveWay, i)
		}
	}
	if outcome != x.Outcome || !slices.Equal(gaveWay, append([]int{}, x.GivesWay...)) {
		t.Errorf("it is %s and %v give way, wanted %s and %v", outcome, gaveWay, x.Outcome, x.GivesWay)
	}
	if outcome != "waits" {
		return
	}
	for _, i := range gaveWay {
		held[i].Release()
	}
	if err := taker.Take(context.Background(), x.Need); err != nil || r.leaving != 0 {
		t.Errorf("%v after the others gave way, %d bytes still do", err, r.leaving)
	}
}
