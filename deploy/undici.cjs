// The parts of undici that are used, without its fetch, cache, cookies and web sockets: these would take a third of a
// start's processor time and 12 MB (docs/PLATFORM.md).
module.exports = {
  Client: require('undici/lib/dispatcher/client.js'),
  buildConnector: require('undici/lib/core/connect.js'),
  Agent: require('undici/lib/dispatcher/agent.js'),
  request: (url, { dispatcher, ...o }) => {
    const u = new URL(url);
    return require('undici/lib/api/api-request.js').call(dispatcher, { ...o, origin: u.origin, path: u.pathname + u.search });
  },
};
