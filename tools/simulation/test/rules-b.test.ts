import { rules } from '@thornsail/simulation';

rules.test('once,notrun,kept'.split(','), [1, 2, 3]);
