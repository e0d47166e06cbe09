package docs

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// lenientReaders matches ways to read HTTP responses that accept malformed ones.
var lenientReaders = regexp.MustCompile(`fasthttp\.(Client|HostClient|LBClient|PipelineClient|Do\w*|Get\w*|Post\w*)\b|\.ReadLimitBody\(|http\.(Client|DefaultClient|Get|Head|Post\w*|ReadResponse|Transport)\b`)

// Guards against a further reader of responses that does not refuse malformed ones: responses are read by
// upstream.Conn.ReadResponse, or by net/http together with upstream.CheckHeader.
func TestResponsesAreReadStrictly(t *testing.T) {
	for dir, paths := range goFiles(t) {
		if strings.HasPrefix(dir, "review") {
			continue
		}
		for _, path := range paths {
			if strings.HasSuffix(path, "_test.go") || path == "../upstream/response.go" {
				continue
			}
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			reader := lenientReaders.FindString(string(text))
			checked := strings.HasPrefix(reader, "http.") && strings.Contains(string(text), "upstream.CheckHeader(")
			if reader != "" && !checked {
				t.Errorf("%s uses %s: read responses with upstream.Conn.ReadResponse or upstream.Client", path, reader)
			}
		}
	}
}
