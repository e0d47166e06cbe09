package logging

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
)

// maxStack bounds the logged stack in bytes. The innermost calls come first.
const maxStack = 2 << 10

// LogPanic logs a value returned by recover, with the stack. Callers recover for each
// request, heartbeat or message, and the process continues: otherwise an input that
// crashes one process would be retried and crash others.
func LogPanic(logger *zap.Logger, step, peer string, cause any, fields ...zap.Field) {
	stack := debug.Stack()
	logger.Error("panicked", append(append(ErrorFields(step, peer, fmt.Errorf("%v", cause)), fields...), zap.ByteString("stack", stack[:min(len(stack), maxStack)]))...)
}
