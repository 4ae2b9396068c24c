package platform_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/standin/platform"
)

func TestInstanceListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list platform.Instances
		list.SetLag(3 * time.Second)
		list.Put(platform.Instance{ID: "a"})
		if n := len(list.List()); n != 0 {
			t.Errorf("got %d instances before the lag, want 0", n)
		}
		time.Sleep(3 * time.Second)
		list.Remove("a")
		if n := len(list.List()); n != 1 {
			t.Errorf("got %d instances after the lag, want 1", n)
		}
		time.Sleep(3 * time.Second)
		if n := len(list.List()); n != 0 {
			t.Errorf("got %d instances after the removal, want 0", n)
		}
	})
}

func TestWriteLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var store platform.Store
		store.Faults.Set(platform.FaultSettings{WriteLimit: 100})
		applied := 0
		for range 1000 {
			time.Sleep(time.Millisecond)
			_, err := store.Transact([]platform.Write{{Key: platform.RowKey{Table: "t", Key: "k"}, IfVersion: platform.VersionAny}})
			switch {
			case err == nil:
				applied++
			case !errors.Is(err, platform.ErrThrottled):
				t.Fatal(err)
			}
		}
		if applied < 199 || applied > 201 {
			t.Errorf("got %d writes in the first second, want a full bucket and one second at the rate", applied)
		}
	})
}
