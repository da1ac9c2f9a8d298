package registry

import (
	"reflect"
	"testing"

	"aspenstall/internal/golden"
	"aspenstall/internal/wire"
)

func TestNamesInMessages(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any // a pointer to it
	}{
		{"head", &jobRecord{
			Team: "t", ID: "i", Version: 1, Groups: []Group{{Name: "n", Native: "job-2", Digest: "d"}}, Stopped: true, At: 3, Create: 4, Before: 5,
			Stub: Stub{Title: "ti", Type: "ty", Priority: 6, Datacenters: []string{"dc"}},
		}},
		{"gone", &purgeRecord{Team: "t"}},
		{"source", &sourceRecord{Packed: "p", At: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			golden.AllSet(t, c.name, c.value, nil)
			b, err := wire.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			golden.Compare(t, c.name, b)
			back := reflect.New(reflect.TypeOf(c.value).Elem()).Interface()
			if err := wire.Unmarshal(golden.Pack(t, golden.Message(t, c.name)), back); err != nil || !reflect.DeepEqual(back, c.value) {
				t.Errorf("golden record is decoded as %+v, %v", back, err)
			}
		})
	}
}

func TestKeys(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{Prefix, "c/nomad/"}, {jobPrefix, "c/nomad/job/"}, {sourcePrefix, "c/nomad/src/"}, {purgePrefix, "c/nomad/gone/"},
		{sourceKey("k", 7), "c/nomad/src/k/7"},
		{teamPurgeKey("team"), "c/nomad/gone/ca8b22d0db83a22db163b560b3e4e51527e533d31d067b614a0c33c4d2df8432"},
		{purgeKey(Name{Team: "team", ID: "id"}), "c/nomad/gone/ca8b22d0db83a22db163b560b3e4e51527e533d31d067b614a0c33c4d2df8432/8"},
		{jobKey(Name{Team: "team", ID: "id"}), "8197593ea53d657dd9b172c882835d774964eabc472b342c4e1e488197f10538"},
	} {
		if c.got != c.want {
			t.Errorf("got %q, want %q", c.got, c.want)
		}
	}
}

// A source that an earlier version packed can be unpacked.
func TestUnpackEarlierSource(t *testing.T) {
	if b, err := Unpack("q1bydFGyUkpUqgUA"); err != nil || string(b) != `{"ID":"a"}` {
		t.Errorf("got %q, %v", b, err)
	}
}
