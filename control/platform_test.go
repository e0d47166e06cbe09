package control

import (
	"testing"

	"github.com/matryer/is"

	"limehold/bench/rawserver"
)

// Guards against nodes that are drained by a malformed machine list.
func TestMalformedMachineListIsRefused(t *testing.T) {
	const body = `{"machines": [{"name": "n1", "state": "leaving"}]}`
	list, err := fetchPlatform(newPlatformClient(), "http://"+rawserver.Start(t, rawserver.Response(body)))
	if err != nil || len(list.Machines) != 1 {
		t.Fatalf("valid response: %v, %v", list, err)
	}
	for name, response := range rawserver.Malformed(body) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list, err := fetchPlatform(newPlatformClient(), "http://"+rawserver.Start(t, response))
			is.True(err != nil)
			is.Equal(len(list.Machines), 0)
		})
	}
}
