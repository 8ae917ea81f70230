/** Stand-in for the platform's store: range reads and watches with a revision and an era. */
import http from 'node:http';

export async function startStore(host) {
  const items = new Map();
  const events = [];
  const watches = new Set();
  let revision = 1;
  const json = (response, body) => {
    response.writeHead(200, {
      'content-type': 'application/json',
      'store-era': '1',
    });
    response.end(JSON.stringify(body));
  };
  const handle = (request, response) => {
    const url = new URL(request.url, 'http://store');
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    if (url.pathname === '/kv-key') {
      const item = items.get(url.searchParams.get('key'));
      if (item === undefined) response.writeHead(404).end();
      else json(response, {...item, current_rev: revision});
      return;
    }
    if (url.pathname === '/kv-range') {
      const matching = [...items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      json(response, {
        items: matching.slice(0, 500),
        has_more: matching.length > 500,
        current_rev: revision,
      });
      return;
    }
    if (url.pathname !== '/kv-watch') {
      response.writeHead(400).end();
      return;
    }
    const answer = () => {
      const found = events.filter(
        event => event.revision > Number(after) && event.key.startsWith(prefix),
      );
      if (found.length === 0 && !isOver) return;
      clearTimeout(timer);
      watches.delete(answer);
      json(response, {events: found, current_rev: revision});
    };
    let isOver = false;
    const timer = setTimeout(
      () => {
        isOver = true;
        answer();
      },
      Number(url.searchParams.get('wait_ms')),
    );
    watches.add(answer);
    response.on('close', () => {
      clearTimeout(timer);
      watches.delete(answer);
    });
    answer();
  };
  const server = http.createServer(handle);
  await new Promise(resolve => server.listen(0, host, resolve));
  const encode = value => Buffer.from(JSON.stringify(value)).toString('base64');
  const notify = () => {
    for (const answer of [...watches]) answer();
  };
  return {
    address: `${host}:${server.address().port}`,
    put: (key, value) => {
      revision += 1;
      const created = items.get(key)?.create_revision ?? revision;
      const item = {
        key,
        value: encode(value),
        revision,
        create_revision: created,
        lease: 0,
      };
      items.set(key, item);
      events.push(item);
      notify();
    },
    remove: key => {
      revision += 1;
      items.delete(key);
      events.push({key, revision, deleted: true});
      notify();
    },
    close: () =>
      new Promise(resolve => {
        server.closeAllConnections();
        server.close(resolve);
      }),
  };
}
