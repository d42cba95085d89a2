// Guards of the lines of `runtime` that keep a rule.
import { guard, type Guard } from './guard.js';

/** Guards of `runtime`. */
export const runtimeGuards: readonly Guard[] = [
  guard({
    name: 'reserved names are synced with their folder',
    rule: '9 durable',
    file: 'runtime/src/data-folder.js',
    find: "await step('write', makeEmpty(path.join(folder, name)));\n            await step('sync', syncFolder());",
    replacement: "await step('write', makeEmpty(path.join(folder, name)));",
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'a document is acknowledged after the sync of its folder',
    rule: '9 durable',
    file: 'runtime/src/data-folder.js',
    find: "underWay.delete(aside);\n            }\n            await step('sync', syncFolder());",
    replacement: 'underWay.delete(aside);\n            }',
    noticedBy: { test: 'durable-files/test/power-loss.test.js' },
  }),
  guard({
    name: 'a reset ends no answer',
    rule: 'answers',
    file: 'runtime/src/connector.js',
    find: 'resetIsAnError(socket);',
    replacement: '',
    noticedBy: {
      test: 'runtime/test/answers.test.js',
    },
  }),
  guard({
    name: 'nothing follows a body that has not left',
    rule: 'answers',
    file: 'runtime/src/connection.js',
    find: 'if (socket && socket.writableLength > 0)',
    replacement: 'if (false)',
    noticedBy: { test: 'runtime/test/answers.test.js' },
  }),
  guard({
    name: 'whoever asks late is told that the client left',
    rule: 'answers',
    file: 'runtime/src/http-server.js',
    find: 'if (isClosed()) return fn();',
    replacement: '',
    noticedBy: { test: 'runtime/test/clients.test.js' },
  }),
  guard({
    name: 'a request sent ahead is told that its client left',
    rule: 'answers',
    file: 'runtime/src/http-server.js',
    find: 'const forget = onSocketClose(socket, once);',
    replacement: 'const forget = () => undefined;',
    noticedBy: { test: 'runtime/test/clients.test.js' },
  }),
  guard({
    name: 'an answer without a length is cut by a reset',
    rule: 'answers',
    file: 'runtime/src/http-server.js',
    find: 'if (res.headersSent && !framed && !res.chunkedEncoding)',
    replacement: 'if (false)',
    noticedBy: { test: 'runtime/test/clients.test.js' },
  }),
  guard({
    name: 'a server closes behind the answers it still writes',
    rule: 'answers',
    file: 'runtime/src/http-server.js',
    find: 'await answers.flushed();',
    replacement: '',
    noticedBy: { test: 'runtime/test/closing.test.js' },
  }),
];
