import { rules } from '@thornsail/simulation';

rules.test('rolling,random'.split(','), [1, 2, 3]);
