/** Mutation guards for `runtime`: lines of its built code without which a test must fail. */
import { guard, type Guard } from './guard.js';

/** The guards of `runtime`. */
export const runtimeGuards: readonly Guard[] = [
  guard({
    name: 'the folder is synced after reserving file names',
    rule: '9 durable',
    file: 'runtime/src/data-folder.js',
    find: "await step('write', createEmpty(path.join(folder, name)));\n            await step('sync', syncFolder());",
    replacement: "await step('write', createEmpty(path.join(folder, name)));",
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'a document is acknowledged only after the sync of its folder',
    rule: '9 durable',
    file: 'runtime/src/data-folder.js',
    find: "inProgress.delete(temporaryName);\n            }\n            await step('sync', syncFolder());",
    replacement: 'inProgress.delete(temporaryName);\n            }',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'a connection reset does not complete a response',
    rule: 'answers',
    file: 'runtime/src/connector.js',
    find: 'failOnReset(socket);',
    replacement: '',
    noticedBy: {
      test: 'runtime/test/answers.test.js',
    },
  }),
  guard({
    name: 'a connection is not reused before its request body is fully sent',
    rule: 'answers',
    file: 'runtime/src/connection.js',
    find: 'if (socket && socket.writableLength > 0)',
    replacement: 'if (false)',
    noticedBy: { test: 'runtime/test/answers.test.js' },
  }),
  guard({
    name: 'a close callback added after the client has disconnected is called',
    rule: 'answers',
    file: 'runtime/src/response-writer.js',
    find: 'if (isClosed()) return callback();',
    replacement: '',
    noticedBy: { test: 'runtime/test/clients.test.js' },
  }),
  guard({
    name: 'a pipelined request is notified that its client has disconnected',
    rule: 'answers',
    file: 'runtime/src/response-writer.js',
    find: 'const unsubscribe = onSocketClose(socket, notify);',
    replacement: 'const unsubscribe = () => undefined;',
    noticedBy: { test: 'runtime/test/clients.test.js' },
  }),
  guard({
    name: 'an aborted response without a length resets its connection',
    rule: 'answers',
    file: 'runtime/src/response-writer.js',
    find: 'if (response.headersSent && !hasContentLength && !response.chunkedEncoding)',
    replacement: 'if (false)',
    noticedBy: { test: 'runtime/test/clients.test.js' },
  }),
  guard({
    name: 'a response is limited in what arrives beyond its content',
    rule: 'answers',
    file: 'runtime/src/receive-limit.js',
    find: 'if (isExceeded())',
    replacement: 'if (false)',
    noticedBy: { test: 'runtime/test/endless-responses.test.js' },
  }),
  guard({
    name: 'a request body in very many pieces closes its connection',
    rule: 'answers',
    file: 'runtime/src/body-reader.js',
    find: 'if (received.isFragmented())',
    replacement: 'if (false)',
    noticedBy: { test: 'runtime/test/clients.test.js' },
  }),
  guard({
    name: 'closing a server first flushes its responses',
    rule: 'answers',
    file: 'runtime/src/http-server.js',
    find: 'await responses.flushed();',
    replacement: '',
    noticedBy: { test: 'runtime/test/closing.test.js' },
  }),
];
