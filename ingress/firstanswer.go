package ingress

import (
	"strings"
	"sync"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"limehold/incarnation"
)

// maxShownHeaders bounds the names in the line on an instance's first answer.
const maxShownHeaders = 32

// firstAnswers logs once for each incarnation which header fields its answers have: a field whose name is missing in
// the settings has no effect, and nothing else shows that.
type firstAnswers struct {
	mutex sync.Mutex
	last  incarnation.ID
}

// isFirst reports whether no answer of an incarnation has been seen since that of another one.
func (f *firstAnswers) isFirst(from incarnation.ID) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	first := f.last != from
	f.last = from
	return first
}

// log logs the names of the header fields if this is the first answer of the incarnation.
func (f *firstAnswers) log(logger *zap.Logger, from incarnation.ID, header *fasthttp.ResponseHeader) {
	if !f.isFirst(from) {
		return
	}
	var names []string
	for name := range header.All() {
		if len(names) == maxShownHeaders {
			break
		}
		names = append(names, string(name[:min(len(name), maxShownBytes)]))
	}
	logger.Info("instance_first_answer", zap.Stringer("instance", from), zap.String("headers", strings.Join(names, ",")))
}
