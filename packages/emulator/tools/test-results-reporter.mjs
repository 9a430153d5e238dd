/** A reporter for Node's test runner that writes a line of JSON for each top-level test, as run-tests.ts reads it. */

/**
 * @param {AsyncIterable<{ type: string, data: { name: string, nesting: number } }>} events
 */
export default async function* reportResults(events) {
  for await (const { type, data } of events) {
    if (type !== 'test:pass' && type !== 'test:fail') continue;
    if (data.nesting === 0) yield `${JSON.stringify({ name: data.name, passed: type === 'test:pass' })}\n`;
  }
}
