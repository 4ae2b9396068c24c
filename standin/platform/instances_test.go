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
			t.Errorf("%d instances shown at once", n)
		}
		time.Sleep(3 * time.Second)
		list.Remove("a")
		if n := len(list.List()); n != 1 {
			t.Errorf("%d instances shown after the lag", n)
		}
		time.Sleep(3 * time.Second)
		if n := len(list.List()); n != 0 {
			t.Errorf("%d instances shown after the removal", n)
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
			t.Errorf("%d writes in the first second, want one second's hoard and one second's rate", applied)
		}
	})
}
