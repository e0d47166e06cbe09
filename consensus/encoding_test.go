package consensus

import (
	"testing"

	"github.com/matryer/is"

	"limehold/codec"
)

// earlierConfiguration has the fields of a configuration in versions without joint configurations.
type earlierConfiguration struct {
	Members []Member
}

// Guards against records and messages that earlier versions cannot read, and against theirs that cannot be read.
func TestConfigurationsOfEarlierVersions(t *testing.T) {
	members := []Member{{ID: 1, Name: "control-1", Address: "127.0.0.1:1"}, {ID: 2, Name: "control-2", Learner: true}}
	tests := map[string]struct {
		written  Configuration
		readable bool
	}{
		"none":  {Configuration{}, true},
		"plain": {Configuration{Members: members}, true},
		"joint": {Configuration{Members: members, Outgoing: []MemberID{2}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := codec.Marshal(&Entry{Index: 3, Kind: EntryConfiguration, Configuration: &test.written})
			is.NoErr(err)
			var entry Entry
			is.NoErr(codec.Unmarshal(data, &entry))
			is.Equal(*entry.Configuration, test.written)

			data, err = codec.Marshal(test.written)
			is.NoErr(err)
			var earlier earlierConfiguration
			is.Equal(codec.Unmarshal(data, &earlier) == nil, test.readable)
			if test.readable {
				again, err := codec.Marshal(earlier)
				is.NoErr(err)
				is.Equal(again, data)
			}
		})
	}
}
