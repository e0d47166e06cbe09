package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"limehold/ownership"
)

func TestBusiestShardsOfEachService(t *testing.T) {
	for name, c := range map[string]struct {
		work  map[ownership.Key]float64
		count int
		want  []ownership.Key
	}{
		"nothing reported": {nil, 2, nil},
		"fewer than asked for": {
			map[ownership.Key]float64{{Service: "a", Shard: 3}: 5}, 2,
			[]ownership.Key{{Service: "a", Shard: 3}},
		},
		"the highest of each service": {
			map[ownership.Key]float64{{Service: "b", Shard: 1}: 9, {Service: "a", Shard: 1}: 1, {Service: "a", Shard: 2}: 3, {Service: "a", Shard: 4}: 2}, 2,
			[]ownership.Key{{Service: "a", Shard: 2}, {Service: "a", Shard: 4}, {Service: "b", Shard: 1}},
		},
		"equal rates by number": {
			map[ownership.Key]float64{{Service: "a", Shard: 7}: 4, {Service: "a", Shard: 2}: 4}, 2,
			[]ownership.Key{{Service: "a", Shard: 2}, {Service: "a", Shard: 7}},
		},
		"none": {map[ownership.Key]float64{{Service: "a", Shard: 7}: 4}, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := NewLoadTable(time.Second)
			for key, work := range c.work {
				table.Add(key, work, 0)
			}
			table.Update(time.Second)
			var got []ownership.Key
			for _, busy := range table.Busiest(c.count) {
				is.True(busy.Rate > 0)
				got = append(got, busy.Key)
			}
			is.Equal(got, c.want)
		})
	}
}
