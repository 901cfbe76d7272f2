/** Modules of `undici` without type declarations of their own. */
declare module 'undici/lib/api/api-request.js' {
  const request: unknown;
  export default request;
}

declare module 'undici/lib/dispatcher/agent.js' {
  const agent: unknown;
  export default agent;
}

declare module 'undici/lib/dispatcher/client.js' {
  const client: unknown;
  export default client;
}

declare module 'undici/lib/core/symbols.js' {
  const symbols: {readonly kParser: symbol; readonly kSocket: symbol};
  export default symbols;
}
