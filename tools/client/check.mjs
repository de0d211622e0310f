import OpenAI from 'openai';
const [url, key] = process.argv.slice(2);
const client = new OpenAI({ baseURL: url + '/v1', apiKey: key, maxRetries: 0 });
const whole = await client.chat.completions.create({ model: 'small', max_tokens: 5, messages: [{ role: 'user', content: 'Hi' }] });
console.log('whole:', whole.choices[0].message.content);
const stream = await client.chat.completions.create({ model: 'small', stream: true, max_tokens: 5, messages: [{ role: 'user', content: 'Hi' }] });
let text = ''; for await (const part of stream) text += part.choices[0]?.delta?.content ?? '';
console.log('stream:', text);
const cancelled = await client.chat.completions.create({ model: 'small', stream: true, max_tokens: 100000, messages: [{ role: 'user', content: 'Hi' }] });
let n = 0; for await (const part of cancelled) if (++n == 20) break;
console.log('cancelled after', n);
const models = await client.models.list(); console.log('models:', models.data.map(m => m.id));
const old = await client.completions.create({ model: 'small', max_tokens: 3, prompt: 'Hi' }); console.log('completion:', old.choices[0].text);
try { await new OpenAI({ baseURL: url + '/v1', apiKey: 'wrong', maxRetries: 0 }).models.list(); } catch (e) { console.log('wrong key:', e.constructor.name, e.status, e.code, e.type); }
try { await client.chat.completions.create({ model: 'nope', messages: [] }); } catch (e) { console.log('unknown model:', e.constructor.name, e.status, e.code); }
