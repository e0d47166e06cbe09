package logging

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
)

// maxStack bounds the stack that is logged, in bytes: the innermost calls come first.
const maxStack = 2 << 10

// Panicked logs what a deferred recover() has returned: what was being done ends, and the
// process goes on. A request, a heartbeat or a message that brings a process down would do so
// to the next one that gets it, too.
func Panicked(logger *zap.Logger, step, peer string, cause any, fields ...zap.Field) {
	stack := debug.Stack()
	logger.Error("panicked", append(append(Step(step, peer, fmt.Errorf("%v", cause)), fields...), zap.ByteString("stack", stack[:min(len(stack), maxStack)]))...)
}
