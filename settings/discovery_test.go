package settings

import (
	"testing"

	"github.com/matryer/is"
)

func TestDiscoveryFillsInWhatIsNotGiven(t *testing.T) {
	is := is.New(t)
	config := Default()
	config.Discovery = Discovery{Seeds: []string{"10.0.0.1:80", "10.0.0.2:80"}, Port: 7000}
	config.Router.Control = []string{"10.0.0.9:7000"}
	config.Control.ToleratedLosses = 2
	config.Complete()
	is.Equal(config.Control.Seeds, []string{"10.0.0.1:7000", "10.0.0.2:7000"})
	is.Equal(config.Agent.Control, []string{"10.0.0.1:7000", "10.0.0.2:7000"})
	is.Equal(config.Router.Control, []string{"10.0.0.9:7000"})
	is.Equal(config.Control.Voters, 5)
}
