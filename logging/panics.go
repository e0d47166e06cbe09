package logging

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"
)

// maxStack bounds the logged stack in bytes. The innermost calls come first.
const maxStack = 2 << 10

// Panicked logs a value returned by recover, with the stack. Callers recover per
// request, heartbeat or message, and the process continues: if one input could crash
// a process, its retries would crash the processes that receive it next.
func Panicked(logger *zap.Logger, step, peer string, cause any, fields ...zap.Field) {
	stack := debug.Stack()
	logger.Error("panicked", append(append(Step(step, peer, fmt.Errorf("%v", cause)), fields...), zap.ByteString("stack", stack[:min(len(stack), maxStack)]))...)
}
